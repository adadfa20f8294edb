#!/usr/bin/env bash
# A primary is replaced as planned while replicas are behind, and an entry process is cut off from
# control meanwhile. Do its bounded reads return older data than the route allows?
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
RECORD=$CASE_DIR/record.txt # what was sent, answered and run
. "$CASE_DIR/../common-2.sh"
seen_ip() { echo "127.0.2.$((20 + $1))"; }
ROUTES=()
for i in 0 1 2; do
    for p in 0 20; do ROUTES+=("$(seen_ip $i):$((BASE + p))=$(control_ip $i):$((BASE + p))"); done
done
RV2_CUT=127.0.0.51 start proxy "$RV2" proxy "$RECORD" "${ROUTES[@]}"
RV2_LAG_MS=60 RV2_SLOW_LAG_MS=${LAG_MS:-1800} start_world 5 8
for i in 0 1 2; do start_control $i true; done
for i in 0 1; do start_entry $i; done
operator 20 POST /api/config/replace "$(document 7)" || cannot_run "no configuration is acknowledged"
wait_ready 0 1
sleep 2

# One client writes by way of entry 0; others read by way of entry 1, in transactions at the
# primary, and with bounded reads.
start ages "$RV2" ages "$RECORD" 10 $((BASE + 40)) $((BASE + 41))
sleep 5
if [ "$TROUBLE" != 0 ]; then
    note "the primary is to be replaced"
    kill -USR1 "${PIDS[world]}"
    for ((k = 0; k < 1000; k++)); do grep -q ' order ' "$RECORD" && break; sleep 0.01; done
    sleep 0.1
    note "entry 1 is cut off from control"
    kill -USR2 "${PIDS[proxy]}"
fi
wait "${PIDS[ages]}"

awk '
    $2 == "promoted" {promoted = $1}
    $2 == "acknowledged" {acked++}
    $2 == "run" && $3 ~ /^b/ {runs++}
    $2 == "stale" {
        stale++
        if ($(NF - 2) > oldest) oldest = $(NF - 2)
    }
    $2 == "stale" { if (stale <= 3) print "STALE", substr($0, index($0, $3)), promoted ? "(" $5 - promoted " ms after the promote)" : ""}
    END {
        printf "%d writes acknowledged, %d bounded reads run, %d STALE%s\n", acked, runs, stale, stale ? ", lacking a commit of up to " oldest " ms before" : ""
        exit stale > 0 ? 1 : runs < 100 || acked < 50 ? 2 : 0
    }' "$RECORD"
RESULT=$?
note "result $RESULT"
exit $RESULT
