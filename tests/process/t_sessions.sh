#!/usr/bin/env bash
# Callers whose connection is a session, on the outside interface: the whole path as separate
# processes, a lost primary, a drained one, lagging replicas, orders without an answer, a planned stop.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 27000
for i in 0 1 2; do se_node control $i true; se_node entry $i; done
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))

t_say "a configuration is taken, read back as it was sent, and obeyed"
t_check "nothing is ready without a configuration" bash -c "! curl -sf http://127.0.0.1:$((SE_BASE + 60))/api/readyz"
t_check "it is acknowledged" se_put "$(se_document 7)" 200
t_check "read back as it was sent" [ "$(se_order /api/config/fetch; cat "$SE_DIR/answer")" = "200
$(se_document 7)" ]
t_check "an older one is acknowledged and changes nothing" se_put "$(se_document 5)" 200
t_check "the version is still 7" [ "$(se_version)" = 7 ]
t_check "cut short is refused" se_put "$(se_document 9 | head -c 300)" 400
t_check "an unknown service is refused" se_put "$(se_document 9 | sed 's/"service":"reg0"/"service":"none"/')" 400
t_check "two routes for one database are refused" se_put "$(se_document 9 | sed 's/"host":"b"/"host":"p"/')" 400
t_check "a time limit of 0 is refused" se_put "$(se_document 9 | sed 's/"timeoutMs":1500/"timeoutMs":0/')" 400
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done

t_say "calm: sessions, transactions, values, prepared statements"
se_load 3 11 "${P[@]}"
se_load_end
t_check "work was done" [ "$(se_count ok)" -gt 1000 ]

ms() { date +%s%3N; }
halves_from=$(ms)
t_say "answers break off before their end: no success is made up"
se_load 3 17 "${P[@]}"
for k in 1 2 3 4; do sleep 0.4; se_world halves/10 > /dev/null; done
se_load_end

halves_to=$(ms)
t_say "instances refuse what the proxy puts there in the middle of transactions"
se_load 4 18 "${P[@]}"
for k in 1 2 3 4 5 6 7 8; do sleep 0.3; se_world busy-sets/6 > /dev/null; done
se_load_end
t_check "no statement was tried for ever" [ "$(grep -c '"kind":"deadline"' "$SE_DIR"/e0.log)" -lt 20 ]

t_say "replicas 3 s behind: nothing stale"
se_world lag/0/3000 > /dev/null
se_load 3 12 "${P[@]}"
se_load_end
t_check "work was done" [ "$(se_count ok)" -gt 500 ]
se_world lag/0/20 > /dev/null

t_say "the primary dies"
death_from=$(ms)
old=$(se_primary)
se_load 6 13 "${P[@]}"
sleep 1; se_world "kill/0/$old" > /dev/null
se_load_end
t_check "another leads" [ "$(se_primary)" != "$old" ]
se_world "revive/0/$old" > /dev/null; sleep 1

death_to=$(ms)
t_say "orders go unanswered and are carried out late"
old=$(se_primary)
se_world deaf-orders/2 > /dev/null
se_load 9 14 "${P[@]}"
sleep 0.5; se_world "kill/0/$old" > /dev/null
se_load_end
t_check "another leads" [ "$(se_primary)" != "$old" ]
t_check "work went on after it" [ "$(se_count ok)" -gt 500 ]
se_world "revive/0/$old" > /dev/null; sleep 1

t_say "a primary that is drained hands over: nothing is lost, nothing in doubt"
old=$(se_primary)
se_load 4 15 "${P[@]}"
sleep 0.7; se_world "drain/0/$old" > /dev/null
se_load_end
t_check "another leads" [ "$(se_primary)" != "$old" ]
t_check "no answer in doubt" [ "$(se_count doubt)" = 0 ]

for round in 1 2 3; do
    t_say "a planned stop of an entry node ($round): what was asked is answered, sessions go elsewhere"
    se_load 5 "16$round" "${P[2]}" "${P[2]}" "${P[2]}" "${P[0]}"
    sleep 0.3; se_kill e2 TERM
    t_check "it is not ready any more" t_until bash -c "! curl -sf -m 1 http://127.0.0.1:$((SE_BASE + 62))/api/readyz"
    se_load_end
    t_check "it has ended" t_until bash -c "! kill -0 ${SE_PID[e2]} 2> /dev/null"
    t_check "nothing was at work when it ended" bash -c "grep -o 'ends with.*at work' $SE_DIR/e2.log | tail -1 | grep -q ' 0 statements'"
    t_check "no answer in doubt, no question cut off" [ "$(se_count doubt) $(se_count cut)" = "0 0" ]
    se_node entry 2
    t_check "another comes up in its place" t_until se_ready 2
done

t_say "a route is added and dropped while sessions are open"
t_check "added" se_put "$(se_document 11 ',{"name":"r4","host":"n","kind":"primary","timeoutMs":900,"service":"reg0"}')" 200
t_check "obeyed" t_until se_says DATAROW "${P[0]}" "STARTUP n x" "QUERY 1 READ k"
exec 8<> "/dev/tcp/127.0.0.1/${P[0]}"
printf 'STARTUP n x\r\n' >&8
t_check "dropped" se_put "$(se_document 12)" 200
t_check "obeyed" t_until se_says NODB "${P[0]}" "STARTUP n x"
printf 'QUERY dropped.1 READ k\r\n' >&8
t_check "by the open session as well" grep -q NODB <(timeout 2 cat <&8)
exec 8>&-

t_say "a failed request is explained from the logs alone"
failed() { # kind from to: the id of a request that failed so between two times
    grep -h '"event":"request_failed"' "$SE_DIR"/e?.log | grep "\"kind\":\"$1\"" |
        sed 's/.*"ts_ms":\([0-9]*\).*"request":"\([^"]*\)".*/\1 \2/' | awk -v a="$2" -v b="$3" '$1 > a && $1 < b {print $2; exit}'
}
explain() { "$CL_BUILD/ferryctl" explain "$1" "$SE_DIR"/*.log > "$SE_DIR/explained" 2>&1; }
explains() { explain "$1" && grep -q "$2" "$SE_DIR/explained"; }
t_check "in doubt: its answer was lost" explains "$(failed lost "$halves_from" "$halves_to")" 'cause: lost: in doubt: it was sent'
t_check "with the break that it met" grep -q answer_broke_off "$SE_DIR/explained"
t_check "a transaction that met a change of primary" explains "$(failed aborted "$death_from" "$death_to")" 'cause: aborted'
t_check "the change stands there, with its reason" grep -q 'change_of_primary.*why=' "$SE_DIR/explained"
t_check "a route that was dropped" explains dropped.1 'cause: no_database'
t_check "with the document that dropped it" grep -q 'document_in_force.*document=12' "$SE_DIR/explained"
t_check "another id is not made up" bash -c "! $CL_BUILD/ferryctl explain nobody $SE_DIR/e0.log > /dev/null"
grep -h '^{' "$SE_DIR"/*.log | sed 's/.*"event":"\([a-z_]*\)".*/\1/;t;d' | sort -u > "$SE_DIR/events"
t_check "every event is in docs/LOGS.md" bash -c "while read -r e; do grep -q \"\\\`\$e\\\`\" docs/LOGS.md || { echo \$e; exit 1; }; done < $SE_DIR/events"
exit $T_BAD
