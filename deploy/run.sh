#!/bin/sh
# Starts one relay with a heap that fits the memory its configuration tells: a fixed one is killed where less is
# given. Two fifths leave room for the virtual machine itself, some 50 MB. The heap is whole from the start, so that
# what a relay takes does not grow with its age.
set -eu
cd "$(dirname "$0")/.."
told=$(tr ',{}' '\n\n\n' < "${NODE_CONFIG:-/dev/null}" | sed -n 's/^[[:space:]]*"memory_mb"[[:space:]]*:[[:space:]]*\([0-9]*\).*/\1/p' | head -n 1)
heap=$((${told:-160} * 2 / 5))
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:SharedArchiveFile=relay/target/yewpath.jsa -Xshare:auto -Xlog:disable \
    -Xss256k -Xms"${heap}m" -Xmx"${heap}m" -XX:+AlwaysPreTouch -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m \
    -XX:MaxDirectMemorySize=8m -XX:-UsePerfData -jar relay/target/yewpath.jar serve
