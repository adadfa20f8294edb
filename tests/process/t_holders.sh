#!/usr/bin/env bash
# Groups held by two of four entry nodes; the others forward.
. "$(dirname "$0")/lib.sh"
CL_CONTROL_JSON='"holders": 2, ' cl_setup "$T_DIR/c" 23000 spokeline 4
CL_CONTROL_JSON='"holders": 2, ' cl_start || { t_fail start; exit 1; }
conns() { for e in 0 1 2 3; do [ -n "${CL_PID[e$e]:-}" ] && cl_get "$(cl_entry_port $e)" /metrics; done | awk -v i="instance=\"$1\"" '/^ferry_instance_connections/ && index($0, i) && $2 > 0 {n++} END {print n + 0}'; }

t_say "everything goes on as if all held"
t_load --seconds 4 --seed 61
t_load_end
t_check "two nodes hold an instance's connections" [ "$(conns "${CL_GROUPS[0]}-${CL_DOMAINS[0]}")" = 2 ]
t_check "requests were forwarded" [ "$(for e in 0 1 2 3; do cl_get "$(cl_entry_port $e)" /metrics; done | awk '$1 == "ferry_forwarded_total" {n += $2} END {print n}')" -gt 100 ]

t_say "callers of one node that choose the same id share a connection to the holder: each gets its own"
for k in 0 1 2 3 4 5 6 7; do
    cl_post "$(cl_entry_port 0)" /v1/request "{\"id\":\"k$k\",\"account\":\"a$k\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark k$k own$k\"}" > /dev/null
done
ask_all() { # entry: 40 reads at once, five of each key, all with one id; prints what does not fit
    local k j
    for j in 1 2 3 4 5; do for k in 0 1 2 3 4 5 6 7; do
        cl_post "$(cl_entry_port "$1")" /v1/request "{\"id\":\"same\",\"account\":\"a$k\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"read\",\"stmt\":\"get own$k\"}" | grep -q "\"id\":\"same\",\"value\":\"own$k=1\".*}" || echo "own$k" &
    done; done
    wait # in a subshell: for these only
}
for e in 0 1 2 3; do
    t_check "through e$e: nobody another's answer" [ -z "$(ask_all $e)" ]
done

t_say "a primary is killed"
t_load --seconds 4 --seed 62
sleep 1.5; p=$(cl_primary 0); cl_kill "i0$p"
t_load_end
cl_instance 0 "$p"

t_say "an entry node is killed in the middle of transactions; another takes over what it held"
t_load --seconds 6 --seed 63 --txns 0.2 --reads 0.5
sleep 1.5; cl_kill e1
t_load_end
t_check "two nodes hold again" t_until bash -c "[ \$(for e in 0 2 3; do . tests/process/cluster.sh; CL_BASE=$CL_BASE; cl_get \$(cl_entry_port \$e) /metrics; done | awk '/^ferry_instance_connections/ && /${CL_GROUPS[0]}-${CL_DOMAINS[0]}/ && \$2 > 0 {n++} END {print n + 0}') = 2 ]"
cl_entry 1; t_until cl_ready "$(cl_entry_port 1)"

t_say "planned stops, one after another"
t_load --seconds 6 --seed 64
for k in 0 1 2 3; do
    sleep 0.8
    cl_kill "e$k" TERM; wait "${CL_PID[e$k]}"; rc=$?; unset "CL_PID[e$k]"
    t_check "e$k exits 0" [ $rc = 0 ]
    cl_entry "$k"; t_until cl_ready "$(cl_entry_port "$k")"
done
t_load_end
t_check "none is of unknown outcome" [ "$(t_report unknown)" = 0 ]
exit $T_BAD
