#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -eu
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
[ -f review/standins-2/target/MovedWhileDown.class ] || exit 2
exec java -cp review/standins-2/target MovedWhileDown "$case_folder"
