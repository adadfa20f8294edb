#!/usr/bin/env bash
# Guards against LOST in planned stops: a node ended with sessions open, whose requests it went on
# reading and passing on. Callers rest within transactions, instances are slow, nodes relay
# sessions of accounts to one another, and all of them are stopped in turn, two at a time.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 29400
for i in 0 1 2; do se_node control $i true; se_node entry $i; done
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))
accounts() {
    local i out=""
    for ((i = 0; i < 24; i++)); do out+=",{\"name\":\"a$i\",\"keys\":[\"secret-$i.\"]}"; done
    echo ",\"tenants\":[${out#,}]"
}
document() { local d; d=$(se_document "$1"); echo "${d%\}}$(accounts)}"; }
t_check "a configuration with accounts" se_put "$(document 7)" 200
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done
GRACE_S=4 # of the settings

# SIGTERM, and whether the process ends by itself before it would be killed.
ends_in_time() { # index
    local rc
    { sleep $GRACE_S; kill -KILL "${SE_PID[e$1]}" 2> /dev/null; } &
    local killer=$!
    wait "${SE_PID[e$1]}"
    rc=$?
    kill $killer 2> /dev/null
    [ $rc = 0 ]
}
left_nothing_open() { # stops so far: what each process said when it ended
    [ "$(cat "$SE_DIR"/e*.log | grep -c 'ends with 0 sessions open, 0 statements at work')" = "$1" ]
}

play() { # statement-ms seed
    local stops
    se_world "statement-ms/$1" > /dev/null
    TXN_PAUSE_MS=600 se_load 16 "$2" "${P[@]}"
    sleep 1
    for stops in "0 1" "2"; do
        for i in $stops; do se_kill "e$i" TERM; sleep 0.7; done
        for i in $stops; do t_check "node $i ends by itself within its time" ends_in_time "$i"; done
        for i in $stops; do se_node entry "$i"; done
        for i in $stops; do t_check "node $i is back" t_until se_ready "$i"; done
    done
    se_load_end
    t_check "work was done" [ "$(se_count ok)" -gt 300 ]
    t_check "sessions were relayed" [ "$(se_metric_sum ferry_session_relayed_total 0 1 2)" -gt 0 ]
    t_check "no request that was read went without an answer" [ "$(se_count cut)" = 0 ]
}
t_say "statements of 5 ms"
play 5 41
t_check "no node ended with a session open" left_nothing_open 3
t_say "statements of 40 ms"
play 40 42
t_check "no node ended with a session open" left_nothing_open 6
exit $T_BAD
