#!/bin/sh
# Starts one relay. The heap is two fifths of memory_mb in the configuration: with a fixed size, a relay with less
# memory would be killed. The rest is for the virtual machine itself, which needs about 50 MB. The heap is allocated
# completely at the start, so that the memory usage of a relay does not grow over time.
#
# The script uses only shell built-ins before `exec`: a platform may limit a relay to one process, and starting `sed` or
# a subshell would then fail and prevent the start. For the same reason the virtual machine opens no socket for attach
# tools, and only IPv4 sockets.
set -eu
cd "${0%/*}/.."
config=${NODE_CONFIG:-}
memory_mb=
key_found=
if [ -f "$config" ] && [ -r "$config" ]; then
    # Lines are split at JSON's delimiters, since matching a pattern against a whole line takes quadratic time: 47 s for
    # a line that lists a thousand endpoints before memory_mb.
    set -f
    while IFS= read -r line || [ -n "$line" ]; do
        IFS=',{}[]'
        for piece in $line; do
            if [ -z "$key_found" ]; then
                case $piece in
                    *'"memory_mb"'*) key_found=1; piece=${piece#*'"memory_mb"'} ;;
                    *) continue ;;
                esac
            fi
            piece=${piece#"${piece%%[!:[:space:]]*}"}
            [ -n "$piece" ] || continue     # the number is on a later line than its key
            piece=${piece%%[!0-9.eE+-]*}
            case $piece in
                *[eE-]*) ;;                 # 1.92e2 is valid JSON, but the shell can't calculate with it
                *) memory_mb=${piece%%.*} ;;
            esac
            break 2
        done
    done < "$config"
    set +f
    unset IFS
fi
heap=$((${memory_mb:-160} * 2 / 5))
[ "$heap" -ge 8 ] || heap=8             # with a smaller heap the virtual machine refuses the options below
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:SharedArchiveFile=relay/target/yewpath.jsa -Xshare:auto -Xlog:disable \
    -Xss256k -Xms"${heap}m" -Xmx"${heap}m" -XX:+AlwaysPreTouch -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m \
    -XX:MaxDirectMemorySize=8m -XX:-UsePerfData -XX:+DisableAttachMechanism -Djava.net.preferIPv4Stack=true \
    -jar relay/target/yewpath.jar serve
