#!/bin/sh
# Builds the stand-ins of the cases from 6 on into review/bin.
set -e
cd "$(dirname "$0")/harness-2"
GOWORK=off go build -buildvcs=false -o ../bin/harness-2 .
