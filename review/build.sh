#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review. Needs the build of the deploy file, whose
# copy of Jackson the store stand-in uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -nowarn -d target/review \
  -cp "target/hibiscusreel-platform/lib/*" review/lib/review/*.java
