#!/usr/bin/env bash
# Guards against teaselctl explain omitting a log file, including lines of other
# jobs or printing lines out of order.
# shellcheck source=tests/system/session.bash
. "$(dirname "$0")/session.bash"

cat >"$work/a.log" <<'L'
{"time":"2026-01-01T10:00:00.100Z","event":7009,"event_name":"job-accepted","program":"teasel-scheduler","job":"0a","queue":"q"}
not a log line
{"time":"2026-01-01T10:00:02.000Z","event":7011,"event_name":"job-finished","program":"teasel-scheduler","job":"0a","state":"completed"}
{"time":"2026-01-01T10:00:00.300Z","event":7009,"event_name":"job-accepted","program":"teasel-scheduler","job":"0ab","queue":"q"}
L
cat >"$work/b.log" <<'L'
node-1 {"time":"2026-01-01T10:00:01.000Z","event":8008,"event_name":"start-rejected","program":"teasel-node","task":"0a.0.0.1","run":1,"reason":"room"}
L
"$build/teaselctl" explain 0a "$work/a.log" "$work/b.log" >"$work/timeline"
diff "$work/timeline" - <<'S' || fail 'the printed lines differ'
2026-01-01T10:00:00.100Z a.log job-accepted job=0a queue=q
2026-01-01T10:00:01.000Z b.log start-rejected task=0a.0.0.1 run=1 reason=room
2026-01-01T10:00:02.000Z a.log job-finished job=0a state=completed
S
"$build/teaselctl" --json explain 0a "$work/a.log" "$work/b.log" |
    python3 -c 'import json, sys; assert len(json.load(sys.stdin)) == 3'
code=0
"$build/teaselctl" explain ff "$work/a.log" 2>/dev/null || code=$?
[ "$code" = 1 ] || fail "exit code $code for an unknown job"
echo passed
