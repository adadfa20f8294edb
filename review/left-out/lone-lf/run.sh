#!/usr/bin/env bash
# Peers put a request inside another one: a single message, ended by its only CR LF, whose last field
# holds a lone LF. Every statement that an instance runs must have the id and the text of a message sent.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
. "$CASE/../../standin/cluster.sh"
for i in 0 1 2; do start_machine $i; done
start_databases 0
order /api/config/replace "$(config 7 0)" || cannot_run "the configuration is not taken"
wait_ready
for k in 0 1 2; do start "client_$k" "$STANDIN" client "$RECORD" 8 booking "c$k" $(fronts); done
sleep 2
[ "$TROUBLE" = 0 ] || "$STANDIN" rude "$RECORD" booking r 10 $(fronts)
sleep 3
for k in 0 1 2; do p=PID_client_$k; wait "${!p}"; done
say "end"

# The text that ran ("run ID at INSTANCE POSITION TEXT") against the text sent ("sent ID WRITE TEXT to NODE").
awk '$2 == "sent" {sub(/ to [0-9.:]*$/, ""); id = $3; sub(/^[0-9]* sent [^ ]* WRITE /, ""); text[id] = $0}
    $2 == "run" {id = $3; n++; sub(/^[0-9]* run [^ ]* at [^ ]* [^ ]* /, "")
        if (!(id in text)) {bad++; print "UNASKED: ran id " id ", which nobody sent: " $0}
        else if (text[id] != $0) {bad++; print "UNASKED: ran " id " as \"" $0 "\", sent \"" text[id] "\""}}
    END {print n " statements run, " bad + 0 " of them not as sent"; exit bad > 0}' "$RECORD" > "$WORK/found"
rc=$?
[ "$(grep -c ' run c' "$RECORD")" -gt 100 ] || cannot_run "no writes are served"
cat "$WORK/found" >> "$RECORD"
head -2 "$WORK/found"; tail -1 "$WORK/found"
exit $rc
