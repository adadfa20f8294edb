#!/usr/bin/env bash
# syncReplicas 1: a replica receives nothing for a while, and the primary crashes meanwhile. No commit that a
# client was told of may be missing from the log of an instance that is promoted.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
. "$CASE/../standin/cluster.sh"
for i in 0 1 2; do start_machine $i; done
start_databases 1
order /api/config/replace "$(config 7 1)" || cannot_run "the configuration is not taken"
wait_ready
for k in 0 1 2 3 4 5; do
    start "client_$k" "$STANDIN" mixed "$RECORD" 14 "$([ $((k % 2)) = 0 ] && echo booking || echo status)" "c$k" \
        "$(ip_of $((k % 3))):$FRONT" "$(ip_of $(((k + 1) % 3))):$FRONT"
done
sleep 3
grep -q 'answer c0-[0-9]* COMPLETE' "$RECORD" || cannot_run "no write is served"
if [ "$TROUBLE" != 0 ]; then
    db pause 2 > /dev/null
    sleep 0.3
    db crash 0 > /dev/null
    sleep 6.1
    db resume 2 > /dev/null
else
    sleep 6.4
fi
sleep 0.7
say "end"
db quit > /dev/null

# What was acknowledged to a client before a promotion, and is not in the promoted instance's log.
awk '$2 == "PROMOTED" {n++; at[n] = $1; who[n] = $3} $2 == "HAS" {has[n, $4] = 1}
    $2 == "sent" && $4 == "WRITE" {write[$3] = 1}
    $2 == "answer" && $4 == "COMPLETE" {acked[$3] = $1}
    END {for (k = 1; k <= n; k++) {
            lost = 0
            for (id in acked) if ((id in write) && acked[id] <= at[k] && !((k, id) in has)) {lost++; if (lost < 4) print "LOST " id " at " who[k]}
            print "promotion " k ", " who[k] ": " lost " acknowledged commits are missing"; all += lost}
        exit all > 0}' "$RECORD" > "$WORK/found"
rc=$?
[ "$(grep -c ' answer c.* COMPLETE' "$RECORD")" -gt 200 ] || cannot_run "too few requests were served"
cat "$WORK/found" >> "$RECORD"
grep promotion "$WORK/found" || echo "no instance was promoted"
exit $rc
