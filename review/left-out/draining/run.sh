#!/usr/bin/env bash
# A primary with syncReplicas 1 crashes while one replica receives nothing and the other, which has
# every acknowledged commit, is draining. No commit that a client was told of may be missing from the
# log of the instance that is promoted.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
. "$CASE/../../standin/cluster.sh"
for i in 0 1 2; do start_machine $i; done
start_databases 1
order /api/config/replace "$(config 7 1)" || cannot_run "the configuration is not taken"
wait_ready
for k in 0 1 2; do start "client_$k" "$STANDIN" client "$RECORD" 14 booking "c$k" $(fronts); done
sleep 1
grep -q 'answer c0-[0-9]* COMPLETE' "$RECORD" || cannot_run "no write is served"
db drain 1 > /dev/null
for ((t = 0; t < 50; t++)); do grep -q 'acknowledged: reg0-1 is draining' "$RECORD" && break; sleep 0.1; done
grep -q 'acknowledged: reg0-1 is draining' "$RECORD" || cannot_run "draining is not acknowledged"
if [ "$TROUBLE" != 0 ]; then
    db pause 2 > /dev/null
    sleep 2
    db crash 0 > /dev/null
fi
for ((t = 0; t < 60; t++)); do grep -q PROMOTED "$RECORD" && break; sleep 0.1; done
sleep 2
say "end"
db quit > /dev/null

# Acknowledged to a client before the promotion, and not in the promoted instance's log.
awk '/ PROMOTED / && !at {at = $1}
    / HAS / {has[$4] = 1}
    $2 == "answer" && $4 == "COMPLETE" {acked[$3] = $1}
    END {for (id in acked) if (at && acked[id] <= at && !has[id]) {n++; print "LOST " id}; exit n > 0}' "$RECORD" > "$WORK/lost"
rc=$?
acked=$(grep -c ' answer c[0-9]*-[0-9]* COMPLETE' "$RECORD")
[ "$acked" -gt 100 ] || cannot_run "only $acked writes were acknowledged"
[ "$TROUBLE" = 0 ] || grep -q PROMOTED "$RECORD" || { echo "no instance was promoted: nothing is lost"; exit 0; }
head -3 "$WORK/lost" >> "$RECORD"
echo "$acked commits acknowledged; $(grep -m1 -o 'PROMOTED .*' "$RECORD"); missing there: $(wc -l < "$WORK/lost")"
exit $rc
