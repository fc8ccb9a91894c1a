#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs only the JDK.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir target
javac -encoding UTF-8 -d target ./*.java
