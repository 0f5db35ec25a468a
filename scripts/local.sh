#!/usr/bin/env bash
# Functions that start and stop three data centres and the stand-ins on loopback. Sourced by scripts/run.sh.
set -euo pipefail

out=${OUT:-out/local}
pids=()
hosts=(a-1 a-2 b-1 b-2 c-1 c-2)

start_all() {
  rm -rf "$out" && mkdir -p "$out"
  bin/standin --settings examples/local/standin.json >"$out/standin.log" 2>&1 &
  pids+=($!)
  local i=1 host
  for host in "${hosts[@]}"; do
    # The caller, peer and operator ports of host i; examples/local/standin.json repeats the peer ports.
    local port=$((18000 + 10 * i))
    sed -e "s/@HOST@/$host/" -e "s/@CENTRE@/centre-${host%-*}/" -e "s/@CALLER@/$port/" -e "s/@PEER@/$((port + 1))/" \
      -e "s/@OPERATOR@/$((port + 2))/" -e "s#@LOG@#$out/$host.log#" examples/local/winchd.json.template >"$out/$host.json"
    bin/winchd check --settings "$out/$host.json" >/dev/null
    bin/winchd run --settings "$out/$host.json" >"$out/$host.out" 2>&1 &
    pids+=($!)
    i=$((i + 1))
  done
}

# Waits until the operator API of every host responds, but goes on after 100 tries for each host.
wait_ready() {
  local address
  for address in "${operators[@]}"; do
    for _ in $(seq 100); do
      bin/winchctl --address "$address" --secret "$out/operator-secret" hosts >/dev/null 2>&1 && break
      sleep 0.1
    done
  done
}

# Stops the hosts and then the stand-ins, which are pids[0]. Fails when one of them exits with an error.
stop_all() {
  local status=0
  stop_each "${pids[@]:1}" || status=1
  stop_each "${pids[@]:0:1}" || status=1
  pids=()
  return $status
}

# Sends SIGTERM to the given processes and waits for them.
stop_each() {
  local status=0 pid
  [ $# -eq 0 ] || kill -TERM "$@" 2>/dev/null || true
  for pid in "$@"; do
    wait "$pid" || status=1
  done
  return $status
}

callers=(127.0.0.1:18010 127.0.0.1:18020 127.0.0.1:18030 127.0.0.1:18040 127.0.0.1:18050 127.0.0.1:18060)
operators=(127.0.0.1:18012 127.0.0.1:18022 127.0.0.1:18032 127.0.0.1:18042 127.0.0.1:18052 127.0.0.1:18062)
