#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after deploy/build.sh, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
libraries=$(printf '%s:' target/hibiscusreel-platform/lib/jackson-*.jar)
mkdir -p target/review-3
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -cp "$libraries" -d target/review-3 review/lib-3/*.java
