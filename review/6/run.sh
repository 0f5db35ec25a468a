#!/bin/sh
# Adds routes that have a latency target each. TROUBLE=0 leaves the configuration as it is.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) || exit 2
export ROOT
exec ../bin/harness-2 targets "$PWD"
