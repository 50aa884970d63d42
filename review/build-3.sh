#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o review/rig-3/bin/rig3 ./review/rig-3
