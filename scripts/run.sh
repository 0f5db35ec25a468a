#!/usr/bin/env bash
# Runs a local demonstration: three data centres, a release note, requests, and the resulting decisions and usage. With
# "stay" it keeps running until it is interrupted.
cd "$(dirname "$0")/.."
. scripts/local.sh
trap 'status=$?; stop_all || status=1; exit $status' EXIT

ctl() { bin/winchctl "${operators[@]/#/--address=}" --secret "$out/operator-secret" "$@"; }
call() { bin/winchload call "$@"; }

echo "== start: the stand-ins and six hosts of three data centres"
start_all
echo local-operator-secret >"$out/operator-secret"
wait_ready
echo "== apply the release note examples/local/note.json and wait until it is accepted"
ctl note apply examples/local/note.json --wait
echo "== hosts"
ctl hosts
echo "== requests by class and by route, to hosts in different data centres"
call --address 127.0.0.1:18010 --key stores-secret-1 --class store-floor --model atlas-8b --prompt "Is the silver mannequin in stock?" | tee "$out/answer"
call --address 127.0.0.1:18030 --key corner-secret-1 --class display-plan --model atlas-8b --prompt "Plan the spring window." --tokens 40
call --address 127.0.0.1:18050 --key stores-secret-1 --route hire --path confirm
call --address 127.0.0.1:18060 --key stores-secret-1 --route stock --path mannequins
echo "== the dispatch decision of the first request"
ctl explain "$(head -1 "$out/answer" | cut -d' ' -f1)"
echo "== queues of all data centres"
ctl queues
echo "== routing and completion events in the logs"
grep -hE '"Event":(2001|3001)' "$out"/*.log | head -8
echo "== endpoints, including ordered ones"
ctl endpoints
echo "== a withdrawn key is refused"
ctl key withdraw corner-shop-1
# The withdrawal takes a moment to reach all hosts.
sleep 2
if call --address 127.0.0.1:18030 --key corner-secret-1 --class display-plan --model atlas-8b 2>"$out/refused"; then
  echo "the withdrawn key still works" >&2
  exit 1
fi
grep -o 'invalid_api_key\|unauthorized\|401' "$out/refused" | head -1
echo "== reported usage"
for _ in $(seq 40); do
  ctl usage >"$out/usage"
  grep -q department-stores "$out/usage" && break
  sleep 0.5
done
cat "$out/usage"
grep -q department-stores "$out/usage"
if [ "${1:-}" = stay ]; then
  echo "== caller addresses: ${callers[*]}; press Ctrl-C to stop"
  wait
fi
echo "== shutdown"
