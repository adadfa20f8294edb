#!/usr/bin/env bash
# The time line over all processes: a failover as cause and effect, filters, and with processes dead.
. "$(dirname "$0")/lib.sh"
cl_setup "$T_DIR/c" 17000 spokeline 3
cl_start || { t_fail start; exit 1; }

t_say "a primary is killed under load, and an entry node with it"
t_load --seconds 5 --seed 81 --reads 0.2 --txns 0
sleep 1.5; p=$(cl_primary 0); cl_kill "i0$p"
sleep 1.5; cl_kill e2
t_load_end
ctl --json timeline --svg "$CL_DIR/line.svg" > "$CL_DIR/line.json"
t_check "a control node and entry nodes answer" [ $? = 0 ]
# The last failover of the group: all its parts, in the order of cause and effect.
parts=$(awk '/"failovers"/ {on = 1} on' "$CL_DIR/line.json" | tr -d ',\n' | grep -o '{[^}]*"group": "dispatch1"[^}]*}' | tail -1)
at() { sed -E "s/.*\"$1\": ([0-9]+).*/\1/" <<< "$parts"; }
order=1 last=0
for k in suspect down replace fenced promoted primary first_write; do
    v=$(at $k)
    [ -n "$v" ] && [ "$v" -ge "$last" ] && [ "$v" -gt 0 ] || { order=0; echo "   $k: $v after $last"; }
    last=$v
done
t_check "suspicion, decision, log, fences, promotion, announcement, first write, in this order" [ $order = 1 ]
t_check "the gap that it shows is below 5 s" [ $((last - $(at suspect))) -lt 5000 ]
t_check "the picture is there" grep -q '<svg.*failovers' "$CL_DIR/line.svg"
t_check "one control node dead: the others' events, and it is named" bash -c "kill -9 ${CL_PID[c0]}; sleep 1.5; $CL_BUILD/ferryctl timeline | tail -3 | grep -q 'missing.*$(cl_ops_port 0)'"
wait "${CL_PID[c0]}" 2> /dev/null; unset "CL_PID[c0]"

t_say "filters"
t_check "by kind: only that" bash -c "[ \$($CL_BUILD/ferryctl timeline --kind promoted | awk '/^[0-9]/' | grep -vc ' promoted ') = 0 ]"
t_check "by node: only that" bash -c "[ \$($CL_BUILD/ferryctl timeline --node e1 | awk '/^[0-9]/' | grep -vc ' e1 ') = 0 ]"
t_check "by group: only that" bash -c "[ \$($CL_BUILD/ferryctl timeline --group dispatch2 | awk '/^[0-9]/' | grep -c 'dispatch1') = 0 ]"
t_check "what was not seen is no number" bash -c "! $CL_BUILD/ferryctl timeline | grep -q -- '-1 ms'"
exit $T_BAD
