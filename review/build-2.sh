#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network: the stand-ins use
# the standard library only.
set -e
cd "$(dirname "${BASH_SOURCE[0]}")/rig-2"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2-rig .
