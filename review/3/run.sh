#!/usr/bin/env bash
# Plays the case in claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 it plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/fulmarlatch-entry ] && [ -x target/review-standin ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec target/review-standin stale "$here/record.txt"
