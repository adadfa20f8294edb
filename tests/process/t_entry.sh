#!/usr/bin/env bash
# Entry nodes die, freeze and stop; sessions go on elsewhere.
. "$(dirname "$0")/lib.sh"
CL_RELAY=1 cl_setup "$T_DIR/c" 25000 oikonomou 4
CL_RELAY=1 cl_start || { t_fail start; exit 1; }

t_say "entry node killed in the middle of transactions"
t_load --seconds 4 --seed 21 --txns 0.3 --reads 0.4
sleep 1.5; cl_kill e1
t_load_end
cl_entry 1
t_check "it comes back" t_until cl_ready "$(cl_entry_port 1)"

t_say "entry node frozen past its lease during a change of primary, thawed"
t_load --seconds 6 --seed 22
sleep 1; cl_kill e2 STOP
p=$(cl_primary 0); cl_kill "i0$p"; sleep 3.2; cl_kill e2 CONT
t_load_end
cl_instance 0 "$p"

t_say "entry node cut off from control past its lease"
t_load --seconds 6 --seed 23
sleep 1; cl_cut e0; sleep 3
t_check "it says it is not ready" bash -c ". tests/process/cluster.sh; CL_BASE=$CL_BASE; ! cl_ready $(cl_entry_port 0)"
r=$(cl_post "$(cl_entry_port 0)" /v1/request "{\"id\":\"x\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark x y\"}")
t_check "it refuses a write, with when to come back" grep -q '"not_run".*"retry_after_ms"' <<< "$r"
cl_cut ""
t_load_end
t_check "it is ready again" t_until cl_ready "$(cl_entry_port 0)"

t_say "planned stops, one entry node after another: nothing in flight is cut"
t_load --seconds 6 --seed 24
for k in 0 1 2 3; do
    sleep 0.8
    cl_kill "e$k" TERM
    wait "${CL_PID[e$k]}"; rc=$?
    unset "CL_PID[e$k]"
    t_check "e$k exits 0" [ $rc = 0 ]
    cl_entry "$k"
    t_until cl_ready "$(cl_entry_port "$k")"
done
t_load_end
t_check "no request went unanswered" [ "$(t_report unanswered)" = 0 ]
t_check "none is of unknown outcome" [ "$(t_report unknown)" = 0 ]

t_say "the same unsafe write resent on another node, after the primary is lost"
req() { echo "{\"id\":\"once-1\",\"account\":\"acme\",\"db\":\"${CL_GROUPS[1]}\",\"kind\":\"write\",\"stmt\":\"mark once-1 box\",\"deadline_ms\":5000}"; }
a=$(cl_post "$(cl_entry_port 0)" /v1/request "$(req)")
p=$(cl_primary 1); cl_kill "i1$p"; sleep 0.1
b=$(cl_post "$(cl_entry_port 1)" /v1/request "$(req)")
n=$(cl_post "$(cl_entry_port 2)" /v1/request "{\"id\":\"q\",\"account\":\"acme\",\"db\":\"${CL_GROUPS[1]}\",\"kind\":\"read\",\"stmt\":\"runs once-1\"}")
t_check "the first run's answer comes again: $b" grep -q '"value":"box=1".*"duplicate":true' <<< "$b"
t_check "it ran once" grep -q '"value":"once-1=1"' <<< "$n"
old=$(($(date +%s) * 1000 - 700000))
e=$(cl_post "$(cl_entry_port 1)" /v1/request "{\"id\":\"old\",\"account\":\"a\",\"db\":\"${CL_GROUPS[1]}\",\"kind\":\"write\",\"stmt\":\"mark old box\",\"issued_ms\":$old}")
t_check "an id older than the resend window is refused" grep -q id_expired <<< "$e"
exit $T_BAD
