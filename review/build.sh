#!/bin/sh
# Builds the stand-ins of the cases into review/bin.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off go build -buildvcs=false -o ../bin/harness .
