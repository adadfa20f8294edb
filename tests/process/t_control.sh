#!/usr/bin/env bash
# Control nodes die, are cut off, lose their disks; callers must not notice.
. "$(dirname "$0")/lib.sh"
export CL_RELAY=1
cl_setup "$T_DIR/c" 26000 spokeline 3
cl_start || { t_fail start; exit 1; }

t_say "control leader killed: callers do not notice"
t_load --seconds 5 --seed 31
sleep 1.5; l=$(cl_leader); cl_kill "c$l"
ctl --yes --who ann rule "${CL_GROUPS[1]}" 7000 > /dev/null
t_check "an operator's change in the middle of the election is taken" [ $? = 0 ]
t_load_end
t_check "nothing refused" [ "$(t_report not_run)" = 0 ]
cl_control "$l"

t_say "leader cut off silently, for long: it accepts nothing, hands out nothing, comes back quietly"
t_until t_serving; sleep 0.5
l=$(cl_leader); old_ops=$(cl_ops_port "$l")
t_load --seconds 7 --seed 32
cl_cut "c$l"; sleep 1.2
r=$(cl_post "$old_ops" /v1/plan "{\"kind\":\"rule\",\"group\":\"${CL_GROUPS[0]}\",\"max_age_ms\":777}")
t_check "the cut-off node refuses to plan" grep -qE 'no_quorum|not_leader' <<< "$r"
t_check "another leads and confirms" t_until "$CL_BUILD/ferryctl" --yes --who ann rule "${CL_GROUPS[0]}" 5000
new=$(cl_leader); term=$("$CL_BUILD/ferryctl" --json status | awk -F'[:,]' '/"term"/ {print $2; exit}')
sleep 1.5; cl_cut ""; sleep 1
t_check "its return moves nobody: c$new still leads" [ "$(cl_leader)" = "$new" ]
t_load_end
t_check "nothing refused" [ "$(t_report not_run)" = 0 ]
t_check "it has caught up" t_until t_says '"max_age_ms":5000' cl_get "$old_ops" /v1/status

t_say "all control nodes lost: reads that need no lease go on, writes are refused with when to come back"
t=$(cl_post "$(cl_entry_port 0)" /v1/request "{\"id\":\"w\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark w1 z\"}" | sed -n 's/.*"token":"\([^"]*\)".*/\1/p')
for i in 0 1 2; do cl_kill c$i; done
sleep 2.6
r=$(cl_post "$(cl_entry_port 1)" /v1/request "{\"id\":\"r\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"read\",\"stmt\":\"get z\",\"token\":\"$t\"}")
t_check "a session read is served by a replica: $r" grep -q '"value":"z=1".*"replica":true' <<< "$r"
r=$(cl_post "$(cl_entry_port 1)" /v1/request "{\"id\":\"r\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"read\",\"stmt\":\"get z\",\"age_ms\":2000}")
t_check "an aged read is served" grep -q '"value":"z=1"' <<< "$r"
r=$(cl_post "$(cl_entry_port 1)" /v1/request "{\"id\":\"w\",\"account\":\"a\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark w2 z\"}")
t_check "a write is refused: $r" grep -q '"not_run".*no_lease.*retry_after_ms' <<< "$r"
for i in 0 1 2; do cl_control $i; done
t_check "all comes back" t_until cl_ready "$(cl_entry_port 0)"
t_check "the confirmed rule is still in force" t_until t_says 'age up to 5000 ms' ctl status

t_say "a data folder is lost: the node is another member and does not vote; it is let in as a learner first"
t_until t_serving; sleep 0.3
l=$(cl_leader); v=$(((l + 1) % 3))
old_id=$("$CL_BUILD/ferryctl" members | awk -v n="c$v" '$2 == n {print $1}')
cl_kill "c$v"; rm -rf "$CL_DIR/data-c$v"
cl_control "$v"
own_id() { new_id=$(cl_get "$(cl_ops_port "$v")" /v1/status | sed -n 's/.*"id":"\([0-9a-f]*\)".*/\1/p'); [ -n "$new_id" ]; }
t_check "it starts with an identity" t_until own_id
t_check "another identity ($old_id, now $new_id)" [ "$old_id" != "$new_id" ]
t_check "it is no member" bash -c "! $CL_BUILD/ferryctl members | grep -q $new_id"
echo "{\"id\":\"$new_id\",\"name\":\"c$v\",\"ip\":\"127.0.0.1\",\"port\":$((CL_BASE + 60 + v)),\"domain\":\"${CL_DOMAINS[$v]}\"}" > "$CL_DIR/new.json"
t_check "the replacement is confirmed" "$CL_BUILD/ferryctl" --yes --who ann --id rep1 replace "$old_id" "$CL_DIR/new.json"
t_check "it is done" t_until t_says ': done' ctl intent rep1
t_check "it votes" t_says "$new_id.*voter" ctl members
gen=$("$CL_BUILD/ferryctl" status | awk '/^generation/ {print $2 + 0}')
t_say "a second loss just after the repair loses nothing"
l=$(cl_leader); other=$((3 - l - v)); [ "$l" = "$v" ] && other=$(((v + 1) % 3))
cl_kill "c$other"; rm -rf "$CL_DIR/data-c$other"
t_check "two of three go on" t_until "$CL_BUILD/ferryctl" --yes --who ann rule "${CL_GROUPS[1]}" 4321
t_check "nothing is lost" [ "$("$CL_BUILD/ferryctl" status | awk '/^generation/ {print $2 + 0}')" -gt "$gen" ]
t_check "the first rule stands" t_until t_says 'age up to 5000 ms' ctl status

t_say "a voter's disk is full: it stays, says so and decides nothing; with room again it goes on by itself"
t_until t_serving
l=$(cl_leader); v=$(((l + 1) % 3)); [ "$v" = "$other" ] && v=$(((l + 2) % 3))
cl_control "$other"; sleep 0.5 # an empty folder again: a third, non-voting process
cl_kill "c$v" TERM; wait "${CL_PID[c$v]}"; unset "CL_PID[c$v]"
metric() { cl_get "$(cl_ops_port "$v")" /metrics | awk -v m="ferry_control_$1" '$1 == m {print $2}'; }
(ulimit -S -f $((($(stat -c %s "$CL_DIR/data-c$v/log") / 1024) + 2)); exec "$CL_BUILD/ferryd" --config "$CL_DIR/c$v.json") >> "$CL_DIR/full.log" 2>&1 &
full=$!; CL_PID[full]=$full
t_until t_serving
for ((k = 0; k < 40; k++)); do
    ctl --yes --who ann rule "${CL_GROUPS[2]}" $((100 + k)) > /dev/null 2>&1
    grep -q disk_full "$CL_DIR/full.log" && break
done
t_check "it says that its disk is full" grep -q 'disk_full.*write failed' "$CL_DIR/full.log"
t_check "it stays" kill -0 $full
t_check "its metrics say so" [ "$(metric disk_full)" = 1 ]
t_check "the time line says so" t_says 'full: log: write failed' ctl timeline
commit=$(metric commit_index)
t_check "nothing is decided without it, where two of three are needed" bash -c \
    "! timeout 2 $CL_BUILD/ferryctl --yes --who ann --id without rule ${CL_GROUPS[2]} 55 | grep -q done"
prlimit --pid $full --fsize=unlimited
t_until ctl --yes --who ann --id without rule "${CL_GROUPS[2]}" 55 > /dev/null
t_check "with room again it is a voter like before" t_until t_says ': done' ctl intent without
t_check "what was decided is on its disk" [ "$(metric commit_index)" -gt "$commit" ]
t_check "its metrics say so" [ "$(metric disk_full)" = 0 ]
t_check "its log says so" grep -q disk_has_room "$CL_DIR/full.log"
cl_kill full; cl_control "$v"
t_check "after a kill it goes on from its last sync" t_until t_serving

t_say "planned stop of the leader: it hands over, callers do not notice"
t_until t_serving
t_load --seconds 4 --seed 33
sleep 1; l=$(cl_leader); cl_kill "c$l" TERM; wait "${CL_PID[c$l]}"; rc=$?; unset "CL_PID[c$l]"
t_check "exits 0" [ $rc = 0 ]
cl_control "$l"
t_load_end
t_check "nothing refused" [ "$(t_report not_run)" = 0 ]
exit $T_BAD
