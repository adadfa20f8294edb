#!/usr/bin/env bash
# A randomized soak: real processes, faults from outside them, promises checked while it runs.
#   bash tests/soak/soak.sh SEED [SECONDS]
# One seed draws the series of faults and the load: processes killed, stopped, paused and started anew,
# a data folder emptied, instances that die, lag, lose answers, refuse or fail reads, orders that go
# unanswered, streams to instances that are delayed, silenced one way or reset (ferry-pipe),
# configurations that change meanwhile. They overlap. Checked: what callers are told
# (ferry-sessions, which use their connections until the process is gone and rest within transactions for a time that the
# seed draws), that a stopped node ends before it would be killed, that no process ends by itself, that what was acknowledged is read back, that
# all nodes are ready in the end, memory and open files. Ends only what it started, by its ids.
# seeds.txt keeps each seed that ever failed.
SEED=${1:?seed} SECONDS_OF_LOAD=${2:-12}
. "$(dirname "${BASH_SOURCE[0]}")/../process/lib.sh"
. tests/process/sessions.sh
RANDOM=$SEED
STEP_S=0.4
MOST_MEMORY_KB=65536 # a control node's budget in docs/CAPACITY.md; the cluster here is small
MOST_FILES=400
PIPE=20 # ports from an instance to the stream proxy in front of it
ENTRIES=(0 1 2 3) CONTROLS=(0 1 2)
STOP_STEPS=11 # more than the time until a stopped node is killed

se_setup $((22000 + SEED % 16 * 200))
pipe_port=$((SE_BASE + 90))
se_start pipe "$CL_BUILD/ferry-pipe" $pipe_port $PIPE $((SE_BASE + 102)) $((SE_BASE + 103)) $((SE_BASE + 104))
so_pipe() { curl -s -m 2 "http://127.0.0.1:$pipe_port/$1" > /dev/null; }
t_until so_pipe silent/no
t_until se_world via/$PIPE > /dev/null
for i in "${CONTROLS[@]}"; do se_node control "$i" true; done
for i in "${ENTRIES[@]}"; do se_node entry "$i"; done

# What is impaired now, by kind; at most one control node at a time, as its settings bear, and a
# node that is back counts as lost until it has caught up (4 s on the users' pages).
CATCH_UP_STEPS=12
declare -A STOPPED=() # entry nodes that were sent SIGTERM
declare -A UNDO=() # name of a fault: the step at which it ends
so_active() { [ -n "${UNDO[$1]:-}" ]; }
so_until() { UNDO[$1]=$((step + 2 + RANDOM % 6)); }
so_control_is_well() { ! so_active control && ! so_active catch-up; }
so_say() { echo "step $step: $*" >> "$SE_DIR/steps"; }

VERSION=7 ACKED=0
# Asked of each control node once; an order without a clear answer may be in force or not.
so_configure() {
    local i code
    VERSION=$((VERSION + 1 + RANDOM % 3))
    for i in "${CONTROLS[@]}"; do
        code=$(curl -s -L -m 0.5 -o /dev/null -w '%{http_code}' -d "$(se_document $VERSION)" "http://$(se_ip "$i"):$((SE_BASE + 20))/api/config/replace")
        [ "$code" = 200 ] && { ACKED=$VERSION; so_say "version $VERSION is acknowledged"; return; }
    done
}

# A stopped node has the time that its settings give it. One that is paused can't use it.
so_stops() { # entry node
    UNDO["entry $1"]=$((step + STOP_STEPS))
    so_active "pause $1" || STOPPED[$1]=1
}

# Each fault begins here; so_end ends it by its name.
so_begin() {
    local e=${ENTRIES[RANDOM % 4]} c=${CONTROLS[RANDOM % 3]} i=$((RANDOM % 3)) kind=$((RANDOM % 16))
    case $kind in
    0) so_active "entry $e" || { so_say "kill entry $e"; se_kill "e$e"; so_until "entry $e"; } ;;
    1) so_active "entry $e" || { so_say "stop entry $e"; se_kill "e$e" TERM; so_until "entry $e"; so_stops "$e"; } ;;
    2) so_active "entry $e" || so_active "pause $e" || { so_say "pause entry $e"; se_kill "e$e" STOP; so_until "pause $e"; } ;;
    3) so_control_is_well && { so_say "kill control $c"; se_kill "c$c"; so_until control; BROKEN_CONTROL=$c; } ;;
    4) so_control_is_well && { so_say "pause control $c"; se_kill "c$c" STOP; so_until control; BROKEN_CONTROL=$c; } ;;
    5) so_control_is_well && { so_say "control $c loses its disk"; se_kill "c$c"; rm -rf "$SE_DIR/data-c$c"; so_until control; BROKEN_CONTROL=$c; } ;;
    6) so_active control || { so_say "kill all control nodes"; for c in "${CONTROLS[@]}"; do se_kill "c$c"; done; for c in "${CONTROLS[@]}"; do se_node control "$c" false; done; so_until control; BROKEN_CONTROL=; } ;;
    7 | 8) so_active instance || { so_say "instance $i dies"; se_world "kill/0/$i" > /dev/null; so_until instance; DEAD=$i; } ;;
    9) so_active lag || { so_say "replicas lag"; se_world "lag/0/$((500 + RANDOM % 4000))" > /dev/null; so_until lag; } ;;
    10) so_say "answers break off"; se_world "halves/$((1 + RANDOM % 12))" > /dev/null ;;
    11) so_say "values are refused, orders go unanswered"; se_world "busy-sets/4" > /dev/null; se_world "deaf-orders/1" > /dev/null ;;
    12) so_active grey || { so_say "instance $i fails reads"; se_world "grey/0/$i/40" > /dev/null; so_until grey; GREY=$i; } ;;
    13) so_active pipe || { so_say "streams to instances are slow"; so_pipe "delay/$((5 + RANDOM % 60))"; so_until pipe; } ;;
    14) so_active pipe || { local w=(in out); w=${w[RANDOM % 2]}; so_say "streams to instances are silent: $w"; so_pipe "silent/$w"; so_until pipe; } ;;
    15) so_say "streams to instances are reset"; so_pipe reset ;;
    esac
}
so_restart() { # entry node; at the end of the load it may still be stopping
    [ -n "${STOPPED[$1]:-}" ] && [ $step -lt $steps ] && kill -0 "${SE_PID[e$1]}" 2> /dev/null && t_fail "entry $1 did not end in time"
    unset "STOPPED[$1]"
    se_kill "e$1"
    se_node entry "$1"
}
so_end() { # name
    so_say "end of $1"
    unset "UNDO[$1]"
    case $1 in
    entry*) so_restart "${1#entry }" ;;
    pause*) se_kill "e${1#pause }" CONT ;;
    control)
        UNDO[catch-up]=$((step + CATCH_UP_STEPS))
        [ -z "$BROKEN_CONTROL" ] && return
        se_kill "c$BROKEN_CONTROL" CONT
        [ -d "$SE_DIR/data-c$BROKEN_CONTROL" ] && kill -0 "${SE_PID[c$BROKEN_CONTROL]}" 2> /dev/null || se_node control "$BROKEN_CONTROL" false ;;
    instance) se_world "revive/0/$DEAD" > /dev/null ;;
    lag) se_world lag/0/20 > /dev/null ;;
    grey) se_world "grey/0/$GREY/0" > /dev/null ;;
    pipe) so_pipe delay/0; so_pipe silent/no ;;
    esac
}

t_check "a configuration is acknowledged" se_put "$(se_document $VERSION)" 200
ACKED=$VERSION
for i in "${ENTRIES[@]}"; do t_check "entry node $i is ready" t_until se_ready "$i"; done
ports=()
for i in "${ENTRIES[@]}"; do ports+=($((SE_BASE + 40 + i))); done
TXN_PAUSE_MS=$((SEED % 4 * 200)) se_load "$SECONDS_OF_LOAD" "$SEED" "${ports[@]}"
steps=$((SECONDS_OF_LOAD * 2))
for ((step = 0; step < steps; step++)); do
    for name in "${!UNDO[@]}"; do [ "${UNDO[$name]}" -le $step ] && so_end "$name"; done
    so_begin
    [ $((RANDOM % 6)) = 0 ] && so_configure
    sleep $STEP_S
done
for name in "${!UNDO[@]}"; do so_end "$name"; done
se_load_end
for i in "${ENTRIES[@]}"; do t_check "entry node $i is ready again" t_until se_ready "$i"; done
so_serves() { se_says COMPLETE "$1" "STARTUP p x" "QUERY 1 WRITE after $SEED"; }
for p in "${ports[@]}"; do t_check "port $p serves a write" t_until so_serves "$p"; done
back=$(se_version)
t_check "what was acknowledged is read back ($back, acknowledged $ACKED)" [ "${back:-0}" -ge "$ACKED" ]
for n in "${!SE_PID[@]}"; do
    p=/proc/${SE_PID[$n]}
    [ -d "$p" ] || { t_fail "$n ended by itself"; tail -3 "$SE_DIR/$n.log"; continue; }
    case $n in c* | e*)
        kb=$(awk '$1 == "VmHWM:" {print $2}' "$p/status") files=$(ls "$p/fd" | wc -l)
        [ "$kb" -le $MOST_MEMORY_KB ] || t_fail "$n: $kb KB"
        [ "$files" -le $MOST_FILES ] || t_fail "$n: $files files" ;;
    esac
done
[ $T_BAD = 0 ] || { echo "seed $SEED, the faults:"; cat "$SE_DIR/steps"; }
exit $T_BAD
