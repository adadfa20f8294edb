#!/usr/bin/env bash
# A session on an `own` route writes; a change removes the route and adds one to another service, where the
# session writes too, and the next change undoes that, while one replica receives nothing. All within the route's
# maxStalenessMs. The session must read its own write.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
. "$CASE/../standin/cluster.sh"
for i in 0 1 2; do start_machine $i; done
start_databases 0
start_databases 0 reg1 9200
# The configuration with both services: the database "status" has a route to the one given. A change removes
# the route to the other service and adds one of another name.
two() { # version service
    config "$1" 0 | sed -e "s/\"name\":\"r2\",\(\"host\":\"status\".*\"service\":\"\)reg0\(\".*\]\)/\"name\":\"to-$2\",\1$2\2/" \
        -e 's/"services":\[\({[^}]*}\)/"services":[\1,{"name":"reg1","healthPath":"\/healthz","maxConns":43,"protocol":"h1","tls":false,"syncReplicas":0}/'
}
order /api/config/replace "$(two 7 reg0)" || cannot_run "the configuration is not taken"
wait_ready
for k in 0 1 2; do start "client_$k" "$STANDIN" client "$RECORD" 10 status "c$k" "$(ip_of $k):$FRONT"; done
mkfifo "$WORK/ask" "$WORK/told"
"$STANDIN" talk "$RECORD" status s "$(ip_of 1):$FRONT" < "$WORK/ask" > "$WORK/told" 2>> "$WORK/session.log" &
PIDS+=($!)
exec 5> "$WORK/ask" 6< "$WORK/told"
N=0
ask() { # statement: the last line before READY in ANSWER; its id is s-$N
    echo "$*" >&5
    N=$((N + 1))
    read -r -t 3 ANSWER <&6
}
ran_at() { grep -q " run s-$N at $1-" "$RECORD"; }
sleep 2
ask READ x
[ "$TROUBLE" = 0 ] || db pause 1 > /dev/null
ask WRITE x mine
case $ANSWER in COMPLETE*) ;; *) cannot_run "the write is not acknowledged: $ANSWER" ;; esac
ran_at reg0 || cannot_run "the write did not run at reg0"
from=$(date +%s%3N)
order /api/config/replace "$(two 8 reg1)" || cannot_run "version 8 is not taken"
for ((t = 0; t < 50; t++)); do ask WRITE y "$t"; ran_at reg1 && break; sleep 0.02; done
while [ $(($(date +%s%3N) - from)) -lt 400 ]; do sleep 0.01; done
order /api/config/replace "$(two 9 reg0)" || cannot_run "version 9 is not taken"
for ((t = 0; t < 50; t++)); do ask READ z; ran_at reg0 && break; sleep 0.02; done
say "moved there and back within $(($(date +%s%3N) - from)) ms"
first=$((N + 1))
while [ $(($(date +%s%3N) - from)) -lt 2300 ]; do ask READ x; sleep 0.02; done
say "read until $(($(date +%s%3N) - from)) ms after the write"
say "end"
awk -v first=$first '$2 == "run" && $3 ~ /^s-/ && $5 ~ /^reg0-/ && $6 == "READ" && $7 == "x:" {
        split($3, a, "-"); if (a[2] >= first) {n++; if ($8 != "mine") {bad++; print "STALE " $0}}}
    END {print n " reads of the session after its write, " bad + 0 " of them without it"; exit bad > 0}' "$RECORD" > "$WORK/found"
rc=$?
cat "$WORK/found" >> "$RECORD"
head -1 "$WORK/found"; tail -1 "$WORK/found"; grep -o 'moved there.*\|read until.*' "$RECORD"
exit $rc
