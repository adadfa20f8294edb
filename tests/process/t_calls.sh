#!/usr/bin/env bash
# Regular calls of instances end at whichever control node takes them; what they tell anew goes to the leader.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 32600
for i in 0 1 2; do se_node control $i true; done
se_node entry 0
t_check "a configuration is acknowledged" se_put "$(se_document 7)" 200
t_check "the entry node is ready" t_until se_ready 0
url() { echo "http://$(se_ip "$1"):$((SE_BASE + 20))/api/instances/$2/heartbeat"; }
told() { # id port state seq
    printf '{"service":"reg0","address":"127.0.0.1:%s","zone":"z1","version":"v1","capacity":3,"state":"%s","warmupLeftMs":0,"dbRole":"replica","callSeq":%s}' "$2" "$3" "$4"
}
call() { # node id port state seq: the status, not sent on
    curl -s -m 2 -o "$SE_DIR/answer" -w '%{http_code}' -d "$(told "${@:2}")" "$(url "$1" "$2")"
}
leader() { L=$(se_leader); [ -n "$L" ]; }
KNOWN=$((SE_BASE + 103)) # where i-0-1 is
SEQ=100000
everywhere() { # each node ends the call and names itself
    local i
    SEQ=$((SEQ + 1))
    for i in 0 1 2; do
        [ "$(call $i i-0-1 $KNOWN ready $SEQ)" = 200 ] && grep -qF "\"heartbeatUrl\":\"$(url $i i-0-1)\"" "$SE_DIR/answer" || return 1
    done
}
to_leader() { # id port state seq: each follower sends it there
    local i
    for i in 0 1 2; do
        [ $i = "$L" ] || [ "$(call $i "$@")" = 307 ] || return 1
    done
}

t_say "what tells nothing new"
t_check "somebody leads" t_until leader
# An instance that has just joined is known to a follower with the next heartbeat.
t_check "each control node ends it and names itself" t_until everywhere
t_check "two calls need one connection" [ "$(curl -s -m 2 -o /dev/null -o /dev/null -w '%{num_connects} ' -d "$(told i-0-1 $KNOWN ready 200002)" "$(url 0 i-0-1)" "$(url 0 i-0-1)")" = "1 0 " ]
counted() { curl -s -m 2 "http://$(se_ip 0):$((SE_BASE + 20))/metrics" | grep -q '^ferry_control_calls_total{call="beat",answer="done"} [1-9]'; }
t_check "they are counted" counted

t_say "what has to be agreed"
t_check "an unknown instance is sent to the leader" to_leader x-9 9 ready 1
t_check "one that drains is" to_leader i-0-1 $KNOWN draining 200003
t_check "one that moved is" to_leader i-0-1 9 ready 200004

t_say "the leader lies still"
kill -STOP "${SE_PID[c$L]}"
followers() { local i; for i in 0 1 2; do [ $i = "$L" ] || [ "$(call $i i-0-1 $KNOWN ready "$1")" = 200 ] || return 1; done; }
t_check "followers go on ending calls that tell nothing" followers 200005
kill -CONT "${SE_PID[c$L]}"
t_check "a configuration is acknowledged again" se_put "$(se_document 8)" 200
exit $T_BAD
