#!/usr/bin/env bash
# Guards against an entry that needs the log for interactive requests. During an
# outage of the log, all agents must connect to a replacement entry at a new
# address; requests without an idempotency key must be answered, and requests with
# a key refused as not run.
set -euo pipefail
. "$(dirname "$0")/../../scripts/measure.sh"
start_cluster --agents 3 --entries 2 --no-workers

port() { echo "${1##*:}"; }

fault "$LOG" '{"outage": true}'
"$root/scripts/localcluster" stop "$cluster" entry-2 KILL
base=$(port "$LOG")
sed -e "s/\"entry-2\"/\"entry-9\"/" \
    -e "s/\"http_listen\": .*/\"http_listen\": \"127.0.0.1:$((base + 19))\",/" \
    -e "s/\"peer_listen\": .*/\"peer_listen\": \"127.0.0.1:$((base + 39))\",/" \
    "$cluster/settings/entry-2.json" >"$cluster/settings/entry-9.json"
"$build/teasel-entry" --config "$cluster/settings/entry-9.json" \
    2>"$cluster/logs/entry-9.log" &
replacement=$!
trap 'kill "$replacement" 2>/dev/null || true; stop_cluster' EXIT
url=http://127.0.0.1:$((base + 19))
members() { curl -fsS "$url/admin/members" | grep -o '"connected":true' | wc -l; }
until [ "$(members 2>/dev/null)" = 3 ]; do sleep 0.05; done
echo 'all agents are connected to the replacement'

[ "$(curl -sS -d body "$url/svc/previews/x")" = body ]
refused=$(curl -sS -d body -H 'Idempotency-Key: k' "$url/svc/previews/x")
echo "$refused"
[[ $refused = *'"executed":"no"'* ]]
runs() { sum_stat EXECUTOR total; }
[ "$(runs)" = 1 ]

# After the outage a request with the same key runs once, even if it is repeated
# and the answer of the log to the claim of the key is lost.
fault "$LOG" '{"outage": false, "drop_append_answers": 1}'
for i in 1 2; do
    until answer=$(curl -fsS -d body -H 'Idempotency-Key: k' "$url/svc/previews/x" 2>/dev/null); do
        sleep 0.05
    done
    [ "$answer" = body ]
done
[ "$(runs)" = 2 ]
kill "$replacement"
wait "$replacement"
