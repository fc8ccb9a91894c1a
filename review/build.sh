#!/bin/sh
# Compiles the stand-ins of the review and its cases into review/target; needs a JDK and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes standins/*.java
