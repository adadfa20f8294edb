#!/usr/bin/env bash
# The open connections between the machines go silent for good, without a reset, while new ones work.
# Half a minute later the operator reads the configuration back, for 10 s.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
PROXY=1
. "$CASE/../../standin/cluster.sh"
start_proxy
for ((t = 0; t < 50; t++)); do pipe status > /dev/null 2>&1 && break; sleep 0.1; done
for i in 0 1 2; do start_machine $i; done
start_databases 0
CONFIG=$(config 7 0)
order /api/config/replace "$CONFIG" || cannot_run "the configuration is not taken"
wait_ready
for k in 0 1 2; do start "client_$k" "$STANDIN" client "$RECORD" 100 booking "c$k" $(fronts); done
sleep 4
served() { grep -c ' answer c[0-9]*-[0-9]* COMPLETE' "$RECORD"; }
[ "$(served)" -gt 100 ] || cannot_run "no writes are served"
[ "$TROUBLE" = 0 ] || pipe silence > /dev/null
sleep 10
before=$(served)
sleep 20
after=$(served)
read_back 10
came=$?
[ $came = 0 ] && [ "$BODY" != "$CONFIG" ] && came=2
for i in 0 1 2; do is_ready $i; say "machine $i: ready probe $STATUS"; done
echo "read back: $([ $came = 0 ] && echo "as acknowledged" || echo "does not come"); writes served from 10 s to 30 s after: $((after - before))"
if [ $came != 0 ]; then # to show that new connections work: processes that are started anew
    for i in 0 1 2; do p=PID_control_$i; kill -KILL "${!p}"; done
    sleep 0.5
    for i in 0 1 2; do start_control $i false; done
    read_back 15 && echo "after a restart of the control processes it comes again"
fi
say "end"
[ $came = 0 ]
