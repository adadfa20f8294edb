#!/usr/bin/env bash
# Configuration: in force everywhere, never backwards; operators race; drains and moves.
. "$(dirname "$0")/lib.sh"
export CL_RELAY=1
cl_setup "$T_DIR/c" 27000 oikonomou 4
cl_start || { t_fail start; exit 1; }
gen_of() { cl_get "$1" /v1/status | sed -n 's/.*"generation":\([0-9]*\).*/\1/p'; }
in_force() { local g; g=$(ctl status | sed -n 's/.*in force on \([0-9]*\) of \([0-9]*\) .*/\1 \2/p'); [ "${g% *}" = "${g#* }" ] && [ "${g% *}" = "$CL_ENTRIES" ]; }

t_say "hundreds of changes pass a node by: one cut off, one stopped"
cl_cut e1; cl_kill e2
port=$(cl_ops_port "$(cl_leader)")
for ((k = 1; k <= 170; k++)); do cl_one_rule "$port" $k; done
t_check "the last one is applied" t_until t_says 'age up to 170 ms' ctl status
before=$(gen_of "$(cl_entry_port 0)")
t_check "over 500 changes" [ "$before" -gt 500 ]
cl_cut ""; cl_entry 2
t_check "all four nodes act on the last" t_until in_force
t_check "the restarted one too" [ "$(gen_of "$(cl_entry_port 2)")" -ge "$before" ]

t_say "equal numbers from two operators: one wins, the other is told by whom"
a="{\"kind\":\"rule\",\"group\":\"${CL_GROUPS[1]}\",\"max_age_ms\":1111}"
b="{\"kind\":\"rule\",\"group\":\"${CL_GROUPS[2]}\",\"max_age_ms\":2222}"
pa=$(cl_post "$port" /v1/plan "$a"); pb=$(cl_post "$port" /v1/plan "$b")
number=$(sed -n 's/.*"number":\([0-9]*\).*/\1/p' <<< "$pa")
ra=$(cl_post "$port" /v1/confirm "{\"id\":\"A\",\"who\":\"ann\",\"number\":$number,\"digest\":\"$(cl_digest "$pa")\",\"args\":$a}")
rb=$(cl_post "$port" /v1/confirm "{\"id\":\"B\",\"who\":\"bob\",\"number\":$number,\"digest\":\"$(cl_digest "$pb")\",\"args\":$b}")
t_check "the first is taken" grep -q '"id":"A"' <<< "$ra"
t_check "the second is told: $rb" grep -q 'conflict.*ann' <<< "$rb"

t_say "an intent resent after its answer was lost gives the same answer"
again=$(cl_post "$port" /v1/confirm "{\"id\":\"A\",\"who\":\"ann\",\"number\":$number,\"digest\":\"$(cl_digest "$pa")\",\"args\":$a}")
t_check "the same intent" grep -q '"id":"A".*"number":'"$number" <<< "$again"
t_check "known once" [ "$(ctl status | grep -c 'intent A ')" = 1 ]

t_say "a plan whose world has moved is refused"
pc=$(cl_post "$port" /v1/plan "$a")
ctl --yes --who bob rule "${CL_GROUPS[1]}" 99 > /dev/null; sleep 0.3
rc=$(cl_post "$port" /v1/confirm "{\"id\":\"C\",\"who\":\"ann\",\"number\":9999,\"digest\":\"$(cl_digest "$pc")\",\"args\":$a}")
t_check "refused: $rc" grep -q stale_plan <<< "$rc"

t_say "the primary's endpoint drains under load: writes parked, none refused"
t_load --seconds 5 --seed 41
sleep 1; p=$(cl_primary 0)
ctl --yes --who ann --id dr1 drain "${CL_GROUPS[0]}" "${CL_GROUPS[0]}-${CL_DOMAINS[$p]}" > /dev/null
t_check "the drain ends" t_until t_says ': done' ctl intent dr1
sleep 1
s1=$(cl_get "$(cl_instance_port 0 "$p")" /state | sed -n 's/.*"statements":\([0-9]*\).*/\1/p')
sleep 1
s2=$(cl_get "$(cl_instance_port 0 "$p")" /state | sed -n 's/.*"statements":\([0-9]*\).*/\1/p')
t_load_end
t_check "another is primary" [ "$(cl_primary 0)" != "$p" ]
t_check "no new work at the drained one ($s1, $s2)" [ "$s1" = "$s2" ]
t_check "nothing refused" [ "$(t_report not_run)" = 0 ]
t_check "nothing of unknown outcome" [ "$(t_report unknown)" = 0 ]

t_say "the drained instance gets work again"
t_check "what is not drained can't be undrained" t_says 'is not drained' bash -c "$CL_BUILD/ferryctl plan undrain ${CL_GROUPS[1]} ${CL_GROUPS[1]}-${CL_DOMAINS[0]} 2>&1"
t_check "a wrong age is refused" t_says 'whole number' bash -c "$CL_BUILD/ferryctl plan rule ${CL_GROUPS[1]} soon 2>&1"
ctl --yes --who ann --id un1 undrain "${CL_GROUPS[0]}" "${CL_GROUPS[0]}-${CL_DOMAINS[$p]}" > /dev/null
t_check "the intent ends" t_until t_says ': done' ctl intent un1
t_load --seconds 3 --seed 43 --reads 0.9
t_load_end
s3=$(cl_get "$(cl_instance_port 0 "$p")" /state | sed -n 's/.*"statements":\([0-9]*\).*/\1/p')
t_check "it serves again ($s2, $s3)" [ "$s3" -gt "$s2" ]

t_say "the platform says that an endpoint's VM is leaving: it is drained"
p=$(cl_primary 2)
cl_post $((CL_BASE + 5)) /vms "[{\"ip\":\"127.0.0.1\",\"port\":$(cl_instance_port 2 "$p"),\"state\":\"leaving\"}]" > /dev/null
t_check "an intent of the platform does it" t_until t_says 'drain by platform: done' ctl status
t_check "it is not the primary any more" [ "$(cl_primary 2)" != "$p" ]
t_say "a platform list that is wrong, silent or gone harms nothing"
before=$(ctl status | grep -c intent)
for bad in nonsense '{"a":1}' '[1,2,{"state":"leaving"}]' '[{"ip":7,"state":"leaving"}]' '[{"ip":"127.0.0.1","port":1,"state":"leaving"}]' '[]'; do
    cl_post $((CL_BASE + 5)) /vms "$bad" > /dev/null
    sleep 0.4
done
cl_kill platform STOP; sleep 1.2; cl_kill platform CONT
cl_kill platform; sleep 1.2
t_check "no intent came of it" [ "$(ctl status | grep -c intent)" = "$before" ]
t_check "failures are counted" [ "$(cl_get "$(cl_ops_port "$(cl_leader)")" /metrics | awk '/platform_failures/ {print $2}')" -gt 0 ]

t_say "a group moves to new instances under load; the leader dies on the way"
for i in 0 1 2; do
    cl_run "n$i" "$CL_BUILD/ferry-instance" --port $((CL_BASE + 180 + i)) --max-conns 40 --slots 3 --ship-us 1000
done
{
    printf '['
    for i in 0 1 2; do
        printf '%s{"id":"new-%d","ip":"127.0.0.1","port":%d,"domain":"%s","max_conns":40,"slots":3}' \
            "$([ $i -gt 0 ] && echo ,)" $i $((CL_BASE + 180 + i)) "${CL_DOMAINS[$i]}"
    done
    printf ']'
} > "$CL_DIR/move.json"
t_load --seconds 9 --seed 42
sleep 1
t_check "confirmed" ctl --yes --who ann --id mv1 move "${CL_GROUPS[1]}" "$CL_DIR/move.json"
sleep 0.25; l=$(cl_leader); cl_kill "c$l"
t_check "the move ends" t_until t_says ': done' ctl intent mv1
t_load_end
cl_control "$l"
t_check "the group lives on the new instances only" [ "$(ctl status | awk -v g="${CL_GROUPS[1]}" '$1 == g {on = 1; next} /^[^ ]/ {on = 0} on && /new-/ {n++} on && !/new-/ {n += 10} END {print n}')" = 3 ]
t_check "the time line shows it" t_says mv1 ctl timeline --kind intent
exit $T_BAD
