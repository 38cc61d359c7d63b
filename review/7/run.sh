#!/bin/bash
# Workers of a plain service send bodies without end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Needs the build of the deploy
# file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
export REPO=$PWD
WORK=$(mktemp -d) || exit 2
export WORK
target/review-2/release/review-rig-2 endless review/7/record.txt &
rig=$!
trap 'kill $rig 2>/dev/null' TERM INT
wait $rig
code=$?
rm -rf "$WORK"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
