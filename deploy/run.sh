#!/bin/sh
# Starts one relay with a heap that fits the memory its configuration tells: a fixed one is killed where less is
# given. Two fifths leave room for the virtual machine itself, some 50 MB. The heap is whole from the start, so that
# what a relay takes does not grow with its age.
#
# Only the shell's own words until `exec`: where a platform lets a relay be one process, starting `sed` or a subshell
# is refused and with it the relay's start. For the same reason the virtual machine opens no socket for tools that
# attach, and no socket of another kind than IPv4.
set -eu
cd "${0%/*}/.."
config=${NODE_CONFIG:-}
told=
seen=
if [ -f "$config" ] && [ -r "$config" ]; then
    # Cut at JSON's own signs and looked at piece by piece: a pattern over a whole line takes the square of its length,
    # 47 s where a thousand endpoints stand ahead of the figure in one line.
    set -f
    while IFS= read -r line || [ -n "$line" ]; do
        IFS=',{}[]'
        for piece in $line; do
            if [ -z "$seen" ]; then
                case $piece in
                    *'"memory_mb"'*) seen=1; piece=${piece#*'"memory_mb"'} ;;
                    *) continue ;;
                esac
            fi
            piece=${piece#"${piece%%[!:[:space:]]*}"}
            [ -n "$piece" ] || continue     # the figure stands on a later line than its key
            piece=${piece%%[!0-9.eE+-]*}
            case $piece in
                *[eE-]*) ;;                 # 1.92e2 is JSON, but nothing the shell can count with
                *) told=${piece%%.*} ;;
            esac
            break 2
        done
    done < "$config"
    set +f
    unset IFS
fi
heap=$((${told:-160} * 2 / 5))
[ "$heap" -ge 8 ] || heap=8             # below, the virtual machine refuses its own options
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:SharedArchiveFile=relay/target/yewpath.jsa -Xshare:auto -Xlog:disable \
    -Xss256k -Xms"${heap}m" -Xmx"${heap}m" -XX:+AlwaysPreTouch -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m \
    -XX:MaxDirectMemorySize=8m -XX:-UsePerfData -XX:+DisableAttachMechanism -Djava.net.preferIPv4Stack=true \
    -jar relay/target/yewpath.jar serve
