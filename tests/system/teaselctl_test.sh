#!/usr/bin/env bash
# Guards against teaselctl reporting an outcome that differs from the contents
# of the log. Checks exit codes, messages and the state in force, also with log
# faults: refused, duplicated and late appends, lost answers and outages.
. "$(dirname "$0")/session.bash"
log=$(address 40)
start_log

title first ticket, diff, state and repeated apply
run diff examples/ticket.json
run apply examples/ticket.json
run apply examples/ticket.json
run show
run --json apply "$(make_ticket 202612040002 "$(slots previews 4)" kofi)"
run --json diff "$(make_ticket 202612040003 '"service/previews": null')"

title an invalid ticket writes nothing
run apply "$(make_ticket 202612040003 "$(slots previews 4), $(slots a -1)")"
run --json apply "$(make_ticket 202612040003 "$(slots previews '"4"')")"
run apply "$work/missing.json"

title a ticket number that is in use, and a number lower than the last change
run apply "$(make_ticket 202612040002 "$(slots previews 5)")"
run apply "$(make_ticket 5 "$(slots previews 5)")"
run apply "$(make_ticket 5 "$(slots other 5)")"

title a ticket that removes an object
run apply "$(make_ticket 202612040003 '"service/previews": null')"

title directories
mkdir "$work/history"
make_ticket 11 "$(slots d 1)" ama history/b >/dev/null
make_ticket 10 "$(slots d 2)" ama history/a >/dev/null
run diff "$work/history"
run apply "$work/history"
make_ticket 12 "$(slots d 3)" ama history/c >/dev/null
run apply "$work/history"
make_ticket 11 "$(slots d 4)" ama history/b >/dev/null
make_ticket 13 "$(slots d 5)" ama history/e >/dev/null
run apply "$work/history"
make_ticket 13 "$(slots d 6)" ama history/f >/dev/null
run apply "$work/history"
mkdir "$work/empty"
run apply "$work/empty"

title drains
run drain agent-1 --author kofi --reason 'broken fan'
run drain agent-1 --author kofi
run drain agent-1 --off --author ama --json
run drain agent-1

title the log refuses an append, loses an answer and duplicates an append
fault '{"refuse_appends": 1}'
run apply "$(make_ticket 20 "$(slots e 1)")"
fault '{"drop_append_answers": 1}'
run apply "$(make_ticket 20 "$(slots e 1)")"
fault '{"double_appends": 1}'
run apply "$(make_ticket 21 "$(slots e 2)")"
run apply "$(make_ticket 20 "$(slots e 1)")"

title appends take effect after a ticket with the same number and a newer one
before=$(count_records)
fault '{"delay_append_effect_ms": 8000}'
run --timeout 1000 apply "$(make_ticket 22 "$(slots f 1)")"
run --timeout 1000 apply "$(make_ticket 30 "$(slots g 1)")"
run --timeout 1000 drain agent-2 --author ama
fault '{"delay_append_effect_ms": 0}'
run apply "$(make_ticket 22 "$(slots f 2)" kofi)"
run apply "$(make_ticket 31 "$(slots g 2)" kofi)"
run drain agent-2 --author kofi
run drain agent-2 --off --author kofi
wait_until has_records $((before + 7))
run apply "$(make_ticket 22 "$(slots f 1)")"
run apply "$(make_ticket 30 "$(slots g 1)")"
run audit --object service/f
run audit --object service/g --json
run audit --kind drain
run audit --kind other

title repeating the command resolves an unknown outcome
fault '{"delay_append_effect_ms": 4000}'
run --timeout 1000 apply "$(make_ticket 40 "$(slots h 1)")"
fault '{"delay_append_effect_ms": 0}'
h_is_in_force() { ctl show | grep -q "^service/h "; }
wait_until h_is_in_force
run apply "$(make_ticket 40 "$(slots h 1)")"

title the log is unavailable
fault '{"outage": true}'
run --timeout 300 apply "$(make_ticket 41 "$(slots h 2)")"
run --timeout 300 --json show
run --timeout 300 audit
run --timeout 300 drain agent-1 --author ama
fault '{"outage": false}'
run apply "$(make_ticket 41 "$(slots h 2)")"

title usage
run
run other
run apply
run apply --off x
run --log nowhere show
run --version
run --config examples/teaselctl.json --check-config
printf '{"lag": "x"}\n' >"$work/bad.json"
run --config "$work/bad.json" --check-config
run members
run --entry "$(address 49)" --timeout 1000 members
run --entry "$(address 49)" --timeout 1000 jobs show j/1

compare_golden teaselctl_session.txt
