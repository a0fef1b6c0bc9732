#!/usr/bin/env bash
# Exits with 1 if the tenant got more than its prepaid tokens, 0 if not, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
libraries=$(printf '%s:' target/hibiscusreel-platform/lib/jackson-*.jar)
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -cp "${libraries}target/review-3" RestoredBudgetCase review/12 0 all
