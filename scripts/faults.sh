#!/usr/bin/env bash
# Runs the fault tests, the tests that remove one guard of a package at a time, and the models, and prints their results.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
status=0

echo "== fault tests of whole systems: promise, injected faults, guard, checks, violations"
go test -count=1 -parallel 4 -timeout 20m -run TestFaults -v ./winchd/faults >out/faults.log 2>&1 || status=1
awk -F'  +' '/^PROMISE/ { printf "| %s | %s | %s | %s | %s |\n", $2, $4, $6, $8, $10 }' out/faults.log | sort
grep -E '^ *--- FAIL' out/faults.log || true

echo "== guards of packages: each test passes with the guard and must find a violation without it"
# out/guards.log keeps only the output of the last package.
for package in release/keyvalue release/peer serving/caller lease/fenced dispatch/endpoint; do
  go test -count=1 -v -run 'TestGuards|TestPolicyGuards|TestFrozenHolder' "./$package" >out/guards.log 2>&1 || status=1
  awk -v package="$package" '/^ *--- (PASS|FAIL)/ { sub(":", "", $2); print "| " package " | " $3 " | " $2 " |" }' out/guards.log
done

echo "== models: verdicts without the given guards"
models/run || status=1
exit $status
