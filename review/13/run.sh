#!/usr/bin/env bash
# Exits with 1 if engines fell over too often, 0 if not, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
libraries=$(printf '%s:' target/hibiscusreel-platform/lib/jackson-*.jar)
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xss512k -cp "${libraries}target/review-3" BrittleCase review/13
