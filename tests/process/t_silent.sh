#!/usr/bin/env bash
# Streams to instances that went silent for good, without a reset, while new ones work: nobody waits for
# the old ones for ever.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 29600
pipe_port=$((SE_BASE + 90))
se_start pipe "$CL_BUILD/ferry-pipe" $pipe_port 20 $((SE_BASE + 102)) $((SE_BASE + 103)) $((SE_BASE + 104))
pipe() { curl -s -m 2 "http://127.0.0.1:$pipe_port/$1" > /dev/null; }
t_check "the stream proxy is there" t_until pipe silent/no
t_until se_world via/20 > /dev/null
for i in 0 1 2; do se_node control $i true; done
se_node entry 0
t_check "a configuration is acknowledged" se_put "$(se_document 7)" 200
t_check "the entry node is ready" t_until se_ready 0
serves() { se_says COMPLETE $((SE_BASE + 40)) "STARTUP p x" "QUERY 1 WRITE k 1"; }
t_check "a write is served" t_until serves

t_say "what instances answer is lost for a while; an answer that was cut short never goes on"
pipe silent/in
sleep 3
pipe silent/no
t_check "a write is served again" t_until serves
old=$(se_primary)
changed() { [ "$(se_primary)" != "$old" ]; }
t_say "the leader hears instances again: a primary that drains hands over"
se_world "drain/0/$old" > /dev/null
t_check "another leads" t_until changed
t_check "a write is served" t_until serves
exit $T_BAD
