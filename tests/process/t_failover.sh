#!/usr/bin/env bash
# A primary's end, in the ways it can come.
. "$(dirname "$0")/lib.sh"
cl_setup "$T_DIR/c" 24000 spokeline 3
cl_start || { t_fail start; exit 1; }

t_say "primary killed"
t_load --seconds 4 --seed 11
sleep 1.5; p=$(cl_primary 0); before=$(t_term 0)
cl_kill "i0$p"
t_load_end
t_check "replaced" [ "$(t_term 0)" -gt "$before" ]
cl_instance 0 "$p"; t_until t_serving

t_say "primary frozen and thawed: what it held back must not come true"
t_load --seconds 6 --seed 12
sleep 1.5; p=$(cl_primary 1); before=$(t_term 1)
cl_kill "i1$p" STOP; sleep 2.5; cl_kill "i1$p" CONT
t_load_end
t_check "replaced" [ "$(t_term 1)" -gt "$before" ]

t_say "primary cut off from control only: entry nodes object, it stays"
t_load --seconds 4 --seed 13
sleep 1; p=$(cl_primary 2); before=$(t_term 2)
cl_fault 2 "$p" '{"cut":"control"}'; sleep 1.5; cl_fault 2 "$p" '{"cut":""}'
t_load_end
t_check "not replaced" [ "$(t_term 2)" = "$before" ]

t_say "primary closes control's connections only"
before=$(t_term 2)
cl_fault 2 "$p" '{"shut":"control"}'; sleep 1.5; cl_fault 2 "$p" '{"shut":""}'; sleep 0.5
t_check "not replaced" [ "$(t_term 2)" = "$before" ]

t_say "primary cut off from one entry node only"
t_load --seconds 4 --seed 14
sleep 1; before=$(t_term 2)
cl_fault 2 "$p" '{"cut":"entry:e1"}'; sleep 1.5; cl_fault 2 "$p" '{"cut":""}'
t_load_end
t_check "not replaced" [ "$(t_term 2)" = "$before" ]

t_say "primary slow but alive"
t_load --seconds 4 --seed 15 --rate 100
sleep 1; before=$(t_term 2)
cl_fault 2 "$p" '{"service_us":60000}'; sleep 2; cl_fault 2 "$p" '{"service_us":500}'
t_load_end
t_check "not replaced" [ "$(t_term 2)" = "$before" ]

t_say "primary and the best replica lost together: wait, then lose nothing"
t_load --seconds 7 --seed 16
sleep 1; p=$(cl_primary 0); q=$(((p + 1) % 3))
cl_kill "i0$p"; cl_kill "i0$q"
t_check "the primary is to be replaced" t_until t_says replacing ctl status
sleep 1.5
left=$("$CL_BUILD/ferryctl" status)
t_check "with one instance left nobody is promoted" grep -q replacing <<< "$left"
grep -q replacing <<< "$left" || echo "   lost i0$p and i0$q; status: $left"
cl_instance 0 "$q"
t_load_end
t_until t_serving
cl_instance 0 "$p"

t_say "primary and the control leader lost together"
sleep 1; t_load --seconds 6 --seed 17
sleep 1.5; p=$(cl_primary 1); l=$(cl_leader); before=$(t_term 1)
cl_kill "c$l"; cl_kill "i1$p"
t_load_end
t_check "replaced under a new leader" [ "$(t_term 1)" -gt "$before" ]
cl_control "$l"; cl_instance 1 "$p"

t_say "flapping primary: replacements are damped"
t_until t_serving; before=$(t_term 0)
for k in 1 2 3 4 5 6; do p=$(cl_primary 0); [ -n "$p" ] && cl_kill "i0$p" && sleep 0.3 && cl_instance 0 "$p"; sleep 0.4; done
t_until t_serving
t_check "at most one replacement a flap" [ $(($(t_term 0) - before)) -le 12 ]
exit $T_BAD
