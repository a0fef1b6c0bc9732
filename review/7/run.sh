#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
jackson="$(echo target/hibiscusreel-platform/lib/jackson-*.jar | tr ' ' ':')"
"${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xmx512m -cp "target/review-2:$jackson" StaleView "$here/record.txt"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
