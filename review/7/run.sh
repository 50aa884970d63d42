#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. It needs the build of the deploy file and
# review/build-2.sh.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/fulmarlatch-entry ] && [ -x target/review-2-rig ] || { echo "not built"; exit 2; }
exec target/review-2-rig -case returned -workers 48 -out "$here/record.txt"
