#!/usr/bin/env bash
# Records the classes that a daemon loads in deploy/classes.txt, from which deploy/build.sh makes an
# archive. To be run after changes that add or rename many classes; an outdated list only makes
# daemons start slower.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -ntp -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am package
"${JAVA_HOME:+$JAVA_HOME/bin/}java" \
  -cp "platform/target/test-classes:platform/target/classes:platform/target/lib/*" \
  org.hibiscusreel.platform.ClassListRecorder deploy/classes.txt
