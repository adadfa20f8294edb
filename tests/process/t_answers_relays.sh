#!/usr/bin/env bash
# Guards against answers of other statements where another node serves the session: instances send answers of
# all kinds twice, while sessions are relayed, holders and primaries die and answers break off.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 26700
for i in 0 1 2; do se_node control $i true; done
for i in 0 1 2 3 4 5; do se_node entry $i; done
P=()
for i in 0 1 2 3 4 5; do P+=($((SE_BASE + 40 + i))); done
few() { se_document "$1" | sed 's/"maxConns":25/"maxConns":5/'; }
t_check "a configuration with five connections an instance, for six nodes" t_until se_put "$(few 7)" 200
for i in 0 1 2 3 4 5; do t_check "entry node $i is ready" t_until se_ready $i; done
for i in 0 1 2 3 4 5; do t_check "entry node $i serves" t_until se_says "COMPLETE " $((SE_BASE + 40 + i)) "STARTUP p me" "QUERY q READ k"; done
repeated() { se_world status | awk '$1 == "repeated" {print $2}'; }
total() { se_metric_sum "ferry_session_$1_total" 0 1 2 3 4 5; }
ALL=31

t_say "relayed sessions, soon and late"
se_world "repeats/5/100/$ALL" > /dev/null
se_load 6 601 "${P[@]}"
se_load_end
t_check "sessions were relayed" [ "$(total relayed)" -gt 0 ]
t_check "answers were sent twice" [ "$(repeated)" -gt 20 ]
t_check "repeats were dropped" [ "$(total repeated_answers)" -gt 20 ]
t_check "work was done" [ "$(se_count ok)" -gt 500 ]
se_world "repeats/5/2000/$ALL" > /dev/null
se_load 6 602 "${P[@]}"
se_load_end
t_check "work was done" [ "$(se_count ok)" -gt 500 ]

t_say "statements are refused, and answers break off"
se_world busy/10 > /dev/null
se_world "repeats/5/100/$ALL" > /dev/null
se_load 5 603 "${P[@]}"
for k in 1 2 3 4 5 6; do sleep 0.5; se_world halves/5 > /dev/null; done
se_load_end
se_world busy/0 > /dev/null

t_say "the primary dies"
old=$(se_primary)
se_load 8 604 "${P[@]}"
sleep 1.5; se_world "kill/0/$old" > /dev/null
se_load_end
t_check "another leads" [ "$(se_primary)" != "$old" ]
se_world "revive/0/$old" > /dev/null; sleep 1

t_say "a node that serves sessions of others is killed"
for i in 0 1 2 3 4 5; do [ "$(se_metric $i ferry_session_relayed_total)" = 0 ] && holder=$i; done
se_load 7 605 "${P[@]}"
sleep 1; se_kill "e${holder:-0}"
se_load_end
t_check "work was done" [ "$(se_count ok)" -gt 300 ]
exit $T_BAD
