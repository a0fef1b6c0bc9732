#!/usr/bin/env bash
# Builds what is deployed, with all output under target/, and an archive of the classes that a
# daemon loads. The archive fits only the Java virtual machine that made it; without a fitting one a
# daemon starts all the same and uses more processor time and memory.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -ntp -Pdeploy -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip \
  -pl platform -am package
if ! "${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xshare:dump -Xmx128m \
  -XX:SharedClassListFile=deploy/classes.txt \
  -XX:SharedArchiveFile=target/hibiscusreel.jsa \
  -jar target/hibiscusreel-platform/hibiscusreel-platform-0.1.0.jar >target/archive.log 2>&1; then
  echo "no class archive was made, see target/archive.log" >&2
  rm -f target/hibiscusreel.jsa
fi
