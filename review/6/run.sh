#!/usr/bin/env bash
# A planned stop of one of a zone's three entry processes. Is a request that it took more than 3 s
# after the SIGTERM, and sent on to an instance, cut off by its end?
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
RECORD=$CASE_DIR/record.txt # what was sent, answered and run
. "$CASE_DIR/../common-2.sh"
start_world 40 24
for i in 0 1 2; do start_control $i true; done
for i in 0 1 2; do start_entry $i; done
TENANTS=',"tenants":['
for i in 0 1 2 3 4 5; do TENANTS+="{\"name\":\"t$i\",\"keys\":[\"key-$i\"]}$([ $i = 5 ] || echo ,)"; done
operator 20 POST /api/config/replace "$(document 7 '' "$TENANTS]")" || cannot_run "no configuration is acknowledged"
wait_ready 0 1 2
sleep 2

NODES=()
for i in 0 1 2; do NODES+=($((BASE + 40 + i)):$((BASE + 60 + i))); done
# Each client's transactions are of 12 statements (BEGIN READ and COMMIT among them), with pauses.
start clients "$RV2" clients "$RECORD" 24 54 "${SEED:-1}" b key- 10 300 "${NODES[@]}"
sleep 6

# SIGTERM, SIGKILL after graceS, and a start after the end, as the platform does it.
stop_entry() {
    local pid=${PIDS[entry-$1]} k
    note "SIGTERM entry $1"
    kill -TERM "$pid"
    for ((k = 0; k < GRACE_S * 50; k++)); do kill -0 "$pid" 2> /dev/null || break; sleep 0.02; done
    kill -KILL "$pid" 2> /dev/null && note "SIGKILL entry $1"
    note "entry $1 has ended"
    sleep 0.5
    start_entry "$1"
}
for i in 0 1; do # two of them in turn, each back and ready before the next
    if [ "$TROUBLE" != 0 ]; then stop_entry $i; else sleep 5.5; fi
    sleep 2
done
wait "${PIDS[clients]}"

# LOST: the connection ends without a complete answer, once the request has been passed on to an
# instance, for a request sent more than 3 s after the SIGTERM of the node that took it, until 1 s
# after graceS.
awk -v grace=$((GRACE_S * 1000)) -v timeout=2000 '
    $2 == "script" && $3 == "SIGTERM" {term["n" $5] = $1}
    $2 == "sent" {sent[$3] = $1; text[$3] = $4 " " $5}
    $2 == "arrived" {arrived[$3] = $1}
    $2 == "answer" {total++; if ($4 == "ok") ok++}
    $2 == "answer" && $4 == "cut" {
        split($3, id, ".")
        t = term[id[3]]
        if (t && sent[$3] > t + 3000 && $1 < t + grace + 1000 && $1 - sent[$3] < timeout && arrived[$3] && arrived[$3] <= $1) {
            lost++
            printf "LOST %s %s: sent %d ms after SIGTERM, at the instance %d, connection ended %d\n", $3, text[$3], sent[$3] - t, arrived[$3] - t, $1 - t
        } else
            other++
    }
    END {
        printf "%d statements, %d answered with success, %d connections that ended otherwise, %d LOST\n", total, ok, other, lost
        exit lost > 0 ? 1 : ok < 500 ? 2 : 0
    }' "$RECORD"
RESULT=$?
note "result $RESULT"
exit $RESULT
