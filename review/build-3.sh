#!/bin/sh
# Builds the stand-ins that the scripts of this review start. It needs no network.
set -e
cd "$(dirname "$0")/rig-3"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o bin/rig .
