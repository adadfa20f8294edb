#!/usr/bin/env bash
# An entry process is killed while a COMMIT of a session that it serves for another is at an
# instance. Is a client promised that nothing is kept, though its transaction is committed?
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
RECORD=$CASE_DIR/record.txt # what was sent, answered and run
. "$CASE_DIR/../common-2.sh"
ID_BYTES=${ID_BYTES:-200}
start_world 300 24
for i in 0 1 2; do start_control $i true; done
for i in 0 1 2; do start_entry $i; done
TENANTS=',"tenants":['
for i in 0 1 2 3 4 5; do TENANTS+="{\"name\":\"t$i\",\"keys\":[\"key-$i\"]}$([ $i = 5 ] || echo ,)"; done
operator 20 POST /api/config/replace "$(document 7 '' "$TENANTS]")" || cannot_run "no configuration is acknowledged"
wait_ready 0 1 2
sleep 2

# All clients are at entry 0; a third of the tenants is served by entry 1.
start commits "$RV2" commits "$RECORD" 6 "$ID_BYTES" p key- $((BASE + 40))
for ((k = 0; k < 1000; k++)); do grep -q 'COMMIT at i-' "$RECORD" && break; sleep 0.01; done
sleep 0.1 # the transactions are committed; their answers follow 300 ms after that
if [ "$TROUBLE" != 0 ]; then
    note "SIGKILL entry 1"
    kill -KILL "${PIDS[entry-1]}"
fi
wait "${PIDS[commits]}"

# REFUSED: committed at an instance before the kill, and answered with one of the words that promise that nothing
# is kept.
awk '
    $2 == "script" && $3 == "SIGKILL" {killed = 1}
    $2 == "committed" && $4 == "COMMIT" && !killed {committed[$3] = 1}
    $2 == "answer" && $3 ~ /^c/ {
        total++
        if ($4 == "ok") ok++
        if ($5 ~ /^(BUSY|ABORTED|LAGGING|READONLY|MISROUTED|TOOMANY)$/ && committed[$3]) {
            broken++
            print "REFUSED", substr($3, 1, 8) "...", "is committed, and answered", substr($0, index($0, $5))
        } else if ($4 != "ok") {
            other++
            print "not counted:", substr($3, 1, 8) "...", committed[$3] ? "committed" : "not committed", substr($0, index($0, $4))
        }
    }
    END {
        printf "%d commits, %d answered with success, %d promised not to be kept though they are\n", total, ok, broken
        exit broken > 0 ? 1 : total < 6 ? 2 : 0
    }' "$RECORD"
RESULT=$?
note "result $RESULT"
exit $RESULT
