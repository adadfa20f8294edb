#!/usr/bin/env bash
# Two regions lose each other: the side with the voters' majority goes on; the other serves what its
# promises still allow, refuses the rest at once, and comes back by itself.
. "$(dirname "$0")/lib.sh"
CL_RELAY=1 cl_setup "$T_DIR/c" 18000 regions 3
CL_RELAY=1 cl_start || { t_fail start; exit 1; }

west="control:c0,control:c1,entry:e0,entry:e1" east="control:c2,entry:e2"
apart() { # instances 0 and 1 are west, 2 is east; log streams between them are cut too
    cl_cut "c2,e2"
    for g in 0 1 2; do
        cl_fault $g 0 "{\"cut\":\"$east,replica:$(cl_instance_port $g 2)\"}"
        cl_fault $g 1 "{\"cut\":\"$east,replica:$(cl_instance_port $g 2)\"}"
        cl_fault $g 2 "{\"cut\":\"$west,replica:$(cl_instance_port $g 0),replica:$(cl_instance_port $g 1)\"}"
    done
}
together() {
    cl_cut ""
    for g in 0 1 2; do for i in 0 1 2; do cl_fault $g $i '{"cut":""}'; done; done
}
# asks entry node $1: kind, id, more fields
ask() { cl_post "$(cl_entry_port "$1")" /v1/request "{\"id\":\"$3\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"$2\"$4}"; }

t_say "primaries in the west, then the east is lost for 8 s"
for g in 0 1 2; do
    [ "$(cl_primary $g)" = 2 ] && { cl_kill "i${g}2"; t_until t_serving; cl_instance $g 2; t_until t_serving; sleep 1; }
done
w=$(ask 2 write w1 ',"stmt":"mark w1 box"')
token=$(sed -n 's/.*"token":"\([^"]*\)".*/\1/p' <<< "$w")
t_load --seconds 14 --seed 71 --deadline-ms 1500
sleep 2; apart; sleep 4
t_check "the west takes writes" grep -q '"status":"ok"' <<< "$(ask 0 write w2 ',"stmt":"mark w2 box"')"
t_check "the east refuses a write, with when to come back" grep -q '"not_run".*"retry_after_ms"' <<< "$(ask 2 write w3 ',"stmt":"mark w3 box"')"
t_check "the east is out of the balancer" bash -c ". tests/process/cluster.sh; ! cl_ready $(cl_entry_port 2)"
t_check "the east serves a session what it has seen, from its replica" grep -q '"status":"ok".*"served_by":"db1-east-c"' <<< "$(ask 2 read r1 ",\"stmt\":\"get box\",\"token\":\"$token\"")"
t_check "the east serves an age that still holds" grep -q '"status":"ok"' <<< "$(ask 2 read r2 ',"stmt":"get box","age_ms":30000')"
t_check "the east refuses an age that does not hold any more" grep -q '"not_run"' <<< "$(ask 2 read r3 ',"stmt":"get box","age_ms":1000')"
ctl --yes --who west rule "${CL_GROUPS[1]}" 45000 > /dev/null
t_check "an intent is taken in the west" [ $? = 0 ]
sleep 4; together
t_load_end
t_check "the east is back" t_until cl_ready "$(cl_entry_port 2)"
t_check "the east takes writes again" t_until bash -c ". tests/process/cluster.sh; cl_post $(cl_entry_port 2) /v1/request '{\"id\":\"w4\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark w4 box\"}' | grep -q '\"ok\"'"
n=$(ask 0 read q1 ',"stmt":"runs w3"')
t_check "what was refused did not run" grep -q '"value":"w3=0"' <<< "$n"
t_check "the change of rule is in force in the east" t_until bash -c "[ \"\$($CL_BUILD/ferryctl --json status | grep -c '\"max_age_ms\": *45000')\" -ge 1 ]"
exit $T_BAD
