#!/usr/bin/env bash
# More entry nodes than an instance has connections: a few hold the group, the others relay sessions;
# a holder that is stopped, one that is killed.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 27600
for i in 0 1 2; do se_node control $i true; done
for i in 0 1 2 3 4 5; do se_node entry $i; done
P=()
for i in 0 1 2 3 4 5; do P+=($((SE_BASE + 40 + i))); done
few() { se_document "$1" | sed 's/"maxConns":25/"maxConns":5/'; }
relayed() { se_metric "$1" ferry_session_relayed_total; }
relays() { # how many nodes have relayed, and whether so many as expected
    local i n=0
    for i in 0 1 2 3 4 5; do [ "$(relayed $i)" -gt 0 ] 2> /dev/null && n=$((n + 1)); done
    [ $n = "$1" ]
}
holders() { for i in 0 1 2 3 4 5; do [ "$(relayed $i)" = 0 ] && echo $i; done; }
t_check "a configuration with five connections an instance, for six nodes" se_put "$(few 7)" 200
for i in 0 1 2 3 4 5; do t_check "entry node $i is ready" t_until se_ready $i; done
knows_all() { curl -s -m 2 "http://127.0.0.1:$((SE_BASE + 60 + $1))/metrics" | awk '/^ferry_session_nodes 6$/ {n = 1} /^ferry_session_instance_share/ {g = 1} END {exit !(n && g)}'; }
for i in 0 1 2 3 4 5; do t_check "entry node $i knows all six, and the group" t_until knows_all $i; done

t_say "sessions on all nodes"
se_load 4 21 "${P[@]}"
se_load_end
for i in 0 1 2 3 4 5; do echo "   node $i relayed $(relayed $i)"; done
t_check "three of six relayed" relays 3
t_check "work was done" [ "$(se_count ok)" -gt 500 ]
mapfile -t H < <(holders)

t_say "who holds no group names no instance when it renews its lease"
renewed() { se_metric "$1" ferry_renewed_instances_total; }
says_nothing() { local a; a=$(renewed "$1"); sleep 1; [ -n "$a" ] && [ "$(renewed "$1")" = "$a" ]; }
says_some() { ! says_nothing "$1"; }
for i in 0 1 2 3 4 5; do
    case " ${H[*]} " in *" $i "*) t_check "holder $i names some" says_some $i ;;
    *) t_check "node $i names none" says_nothing $i ;; esac
done

t_say "the control leader is killed: holders stay who they are"
holdings() { cat "$SE_DIR"/e*.log | grep -c '"event":"holding_changed"'; }
another_leads() { local now; now=$(se_leader); [ -n "$now" ] && [ "$now" != "$old" ]; }
old=$(se_leader) before=$(holdings)
se_load 4 24 "${P[@]}"
sleep 0.5; se_kill "c$old"
t_check "another leads" t_until another_leads
se_load_end
t_check "no node took or gave up a group" [ "$(holdings)" = "$before" ]
se_node control "$old" false

t_say "a holder is stopped: nothing in doubt"
se_load 6 22 "${P[@]}"
sleep 1; se_kill "e${H[0]}" TERM
# Whether the others know five nodes while the stopping one still runs.
left_early() {
    local i
    kill -0 "${SE_PID[e${H[0]}]}" 2> /dev/null || return 1
    for i in 0 1 2 3 4 5; do
        [ $i = "${H[0]}" ] && continue
        [ "$(se_metric "$i" ferry_session_nodes)" = 5 ] || return 1
    done
    kill -0 "${SE_PID[e${H[0]}]}" 2> /dev/null
}
t_check "the others do without it before it has stopped" t_until left_early
se_load_end
t_check "no answer in doubt" [ "$(se_count doubt)" = 0 ]
se_node entry "${H[0]}"
t_check "it comes back" t_until se_ready "${H[0]}"

t_say "a holder freezes: who relays to it knows, and knows when it is back"
# How many beliefs of silence there are at those that relay.
silent() { se_metric_sum ferry_session_neighbors_silent "${R[@]}"; }
some_silent() { [ "$(silent)" -gt 0 ]; }
none_silent() { [ "$(silent)" = 0 ]; }
told() { cat "$SE_DIR"/e*.log | grep -c '"event":"neighbor_changed"'; }
R=() PR=()
for i in 0 1 2 3 4 5; do case " ${H[*]} " in *" $i "*) ;; *) R+=("$i") PR+=($((SE_BASE + 40 + i))) ;; esac done
t_check "no node takes another for silent under load" [ "$(told)" = 0 ]
se_load 6 25 "${PR[@]}"
sleep 1; se_kill "e${H[2]}" STOP
t_check "it is found silent" t_until some_silent
sleep 2; se_kill "e${H[2]}" CONT
t_check "it is believed again" t_until none_silent
se_load_end
t_check "work went on" [ "$(se_count ok)" -gt 500 ]
t_check "it is ready again" t_until se_ready "${H[2]}"

t_say "a holder is killed"
se_load 6 23 "${P[@]}"
sleep 1; se_kill "e${H[1]}"
se_load_end
t_check "work went on" [ "$(se_count ok)" -gt 500 ]
exit $T_BAD
