#!/usr/bin/env bash
# Endpoints that can less: each capability off in the instances and in the settings, under the
# failure that it exists for. docs/INTERFACES.md says what carries the promise instead.
. "$(dirname "$0")/lib.sh"

cluster() { # port entry_json control_json instance_args
    CL_ENTRY_JSON=$2 CL_CONTROL_JSON=$3 CL_INSTANCE_ARGS=$4
    cl_setup "$T_DIR/$1" "$1" oikonomou 3
    cl_start || { t_fail "start"; exit 1; }
}
write() { # entry id key [more fields]
    cl_post "$(cl_entry_port "$1")" /v1/request "{\"id\":\"$2\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark $2 $3\"${4:-}}"
}

t_say "no MINPOS: replicas 200 ms behind answer whatever they have; a primary is killed"
cluster 19000 '"minpos": false, ' "" "--no-minpos --apply-us 200000"
t_load --seconds 5 --seed 61 --keys 20 --reads 0.8
sleep 2; p=$(cl_primary 0); cl_kill "i0$p"
t_load_end
t_check "replicas serve reads all the same" [ "$(t_report replica_share_percent | cut -d. -f1)" -gt 50 ]
cl_end

t_say "no POSITIONS: nothing is pushed"
cluster 19200 '"pushes": false, ' "" "--no-push"
t_load --seconds 4 --seed 62 --reads 0.4
sleep 1.5; p=$(cl_primary 1); cl_kill "i1$p"
t_load_end
t_check "writes go on" [ "$(t_report acknowledged)" -gt 300 ]
cl_end

t_say "no CLAIM: a resend of an unsafe request is not run"
cluster 19400 '"claims": false, ' "" "--no-claim"
t_load --seconds 4 --seed 63 --reads 0.3 --txns 0.2
sleep 1; cl_fault 0 "$(cl_primary 0)" '{"mangle":"lose"}'
sleep 1; cl_fault 0 "$(cl_primary 0)" '{"mangle":""}'
cl_load_wait
t_check "nothing ran twice, nothing acknowledged is lost" [ "$(t_report fault_count)" = 0 ]
t_check "answers were lost" [ "$(t_report unknown)" -gt 0 ]
r=$(write 0 once-1 box)
t_check "the first sending runs: $r" grep -q '"status":"ok"' <<< "$r"
r=$(write 1 once-1 box ',"resend":true')
t_check "its resend is answered unknown" grep -q '"status":"unknown"' <<< "$r"
r=$(write 1 safe-1 box ',"resend":true,"repeat_safe":true')
t_check "what may run twice runs" grep -q '"status":"ok"' <<< "$r"
n=$(cl_post "$(cl_entry_port 2)" /v1/request "{\"id\":\"q\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"read\",\"stmt\":\"runs once-1\"}")
t_check "it ran once" grep -q '"value":"once-1=1"' <<< "$n"
cl_end

t_say "no FENCE: a primary killed; control waits for the entry nodes"
cluster 19600 "" '"fence": false, ' "--no-fence"
t_load --seconds 5 --seed 64
sleep 1.5; p=$(cl_primary 0); before=$(t_term 0); cl_kill "i0$p"
t_load_end
t_check "replaced" [ "$(t_term 0)" -gt "$before" ]
exit $T_BAD
