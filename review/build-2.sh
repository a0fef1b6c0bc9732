#!/usr/bin/env bash
# Compiles the stand-ins and clients of the cases 6 to 10 into target/review-2. It needs the build of
# the deploy file, whose libraries it uses for JSON, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -nowarn -d target/review-2 \
  -cp "target/hibiscusreel-platform/lib/*" review/lib-2/*.java
