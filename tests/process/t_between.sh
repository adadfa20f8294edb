#!/usr/bin/env bash
# The fault table of the interface between our processes: every eighth frame between control nodes, and
# between them and entry nodes, is damaged in one way while a primary is killed and an intent is
# confirmed. Promises attacked: agreement, no acknowledgement by a replaced primary, configuration in
# force. Refused and silent peers: t_control, t_entry; wrong version and cluster: t_ports.
. "$(dirname "$0")/lib.sh"
CL_RELAY=1 cl_setup "$T_DIR/c" 14000 spokeline 3
CL_RELAY=1 cl_start || { t_fail start; exit 1; }
age=1000
for how in double late reorder truncate noise; do
    t_say "frames: $how"
    p=$(cl_primary 0); before=$(t_term 0)
    t_load --seconds 5 --seed 91 --deadline-ms 2000
    sleep 0.7; cl_mangle "$how"; sleep 0.5
    cl_kill "i0$p"
    age=$((age + 1))
    t_check "an intent is taken meanwhile" t_until bash -c "$CL_BUILD/ferryctl --yes --who ann rule ${CL_GROUPS[1]} $age > /dev/null 2>&1"
    sleep 2; cl_mangle ""
    t_load_end
    t_check "the primary is replaced" t_until bash -c "[ \"\$($CL_BUILD/ferryctl status | awk '\$1 == \"${CL_GROUPS[0]}\" {for (i = 1; i < NF; i++) if (\$i == \"term\") print \$(i + 1)}')\" -gt $before ]"
    t_check "the rule is in force" t_until t_says "age up to $age ms" ctl status
    cl_instance 0 "$p"; t_until t_serving
    t_check "all entry nodes are ready" t_until bash -c ". tests/process/cluster.sh; cl_ready $(cl_entry_port 0) && cl_ready $(cl_entry_port 1) && cl_ready $(cl_entry_port 2)"
done
t_check "all processes live" [ "$(for n in "${!CL_PID[@]}"; do kill -0 "${CL_PID[$n]}" 2> /dev/null || echo "$n"; done | wc -l)" = 0 ]
exit $T_BAD
