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

t_say "a node whose time to stop is over answers what is still open"
cl_kill e2 TERM; wait "${CL_PID[e2]}"; unset "CL_PID[e2]"
CL_ENTRY_JSON='"stop_ms":1000,' cl_write_entry 2
cl_entry 2
t_check "it is ready" t_until t_says '"ready":true' curl -s -m 1 "http://127.0.0.1:$(cl_entry_port 2)/readyz"
ask() { # kind id: a request over HTTP
    curl -s -m 8 -d "{\"id\":\"$2\",\"account\":\"a\",\"db\":\"${CL_GROUPS[2]}\",\"kind\":\"$1\",\"stmt\":\"$3\",\"deadline_ms\":20000}" "http://127.0.0.1:$(cl_entry_port 2)/v1/request"
}
serves() { ask write w0 "mark w0 z" | grep -q '"status":"ok"'; }
t_check "it serves" t_until serves
p=$(cl_primary 2) # the write waits for one of the others to have it
for i in 0 1 2; do [ "$i" = "$p" ] || cl_kill "i2$i" STOP; done
ask write w1 "mark w1 z" > "$T_DIR/w1" &
asked=$!
sleep 0.3; cl_kill e2 TERM; wait "${CL_PID[e2]}"; rc=$?; unset "CL_PID[e2]"
for i in 0 1 2; do cl_kill "i2$i" CONT; done
wait $asked
t_check "it exits 0" [ $rc = 0 ]
t_check "the write is answered as open ($(cat "$T_DIR/w1"))" grep -q '"status":"unknown".*"reason":"lost"' "$T_DIR/w1"
exit $T_BAD
