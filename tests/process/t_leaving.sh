#!/usr/bin/env bash
# Leaving and stopping with a second failure in the middle. Promises attacked: a leaving endpoint gets no
# new work, a planned stop cuts no request in flight, nothing acknowledged is lost.
. "$(dirname "$0")/lib.sh"
cl_setup "$T_DIR/c" 16000 oikonomou 3
cl_start || { t_fail start; exit 1; }

t_say "the primary drains and is killed on the way"
t_load --seconds 5 --seed 51
sleep 1.5; p=$(cl_primary 0)
ctl --yes --who ann --id dk1 drain "${CL_GROUPS[0]}" "$(cl_instance_id 0 "$p")" > /dev/null
cl_kill "i0$p"
t_load_end
t_check "the drain ends all the same" t_until t_says ': done' ctl intent dk1
t_check "another is primary" [ "$(cl_primary 0)" != "$p" ]
cl_instance 0 "$p"; sleep 1
s1=$(cl_get "$(cl_instance_port 0 "$p")" /state | sed -n 's/.*"statements":\([0-9]*\).*/\1/p')
t_load --seconds 2 --seed 52
t_load_end
s2=$(cl_get "$(cl_instance_port 0 "$p")" /state | sed -n 's/.*"statements":\([0-9]*\).*/\1/p')
t_check "back, it gets no work: it is still leaving ($s1, $s2)" [ "$s1" = "$s2" ]

t_say "an entry node is stopped while a primary is frozen"
t_load --seconds 5 --seed 53 --deadline-ms 2000
sleep 1.5; p=$(cl_primary 1); cl_kill "i1$p" STOP; sleep 0.05
cl_kill e1 TERM; wait "${CL_PID[e1]}"; rc=$?; unset "CL_PID[e1]"
t_check "it exits 0" [ $rc = 0 ]
sleep 1; cl_kill "i1$p" CONT
t_load_end
t_check "no request went unanswered" [ "$(t_report unanswered)" = 0 ]
exit $T_BAD
