#!/usr/bin/env bash
# Slopes for docs/CAPACITY.md, measured here: control with many entry nodes and groups, an entry node
# with many callers. Prints processor time, memory and bytes of single processes.
set -u
cd "$(dirname "$0")/.." || exit 2
. tests/process/cluster.sh
OUT=$(mktemp -d "${TMPDIR:-/tmp}/ferry-capacity.XXXXXX")
trap cl_end EXIT
TICKS=$(getconf CLK_TCK)

cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }          # ticks of a process
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }       # KB
core() { echo "$1 $2 $3" | awk -v t="$TICKS" '{printf "%.2f", ($2 - $1) * 100 / t / $3}'; } # percent

one_fleet() { # nodes
    local l pid a b
    l=$(cl_leader); pid=${CL_PID[c$l]}
    a=$(cpu "$pid")
    "$CL_BUILD/ferry-fleet" --nodes "$1" --seconds 10 --cluster "$CL_NAME" $((CL_BASE + 10)) $((CL_BASE + 11)) $((CL_BASE + 12)) > "$OUT/fleet.txt" &
    local f=$!
    sleep 3
    for k in 1 2 3 4 5 6; do "$CL_BUILD/ferryctl" --yes --who bench rule "${CL_GROUPS[0]}" $((1000 + k + $1)) > /dev/null; sleep 0.6; done
    wait $f
    b=$(cpu "$pid")
    echo "leader with $1 entry nodes: $(core "$a" "$b" 10) % of a core, $(rss "$pid") KB"
    sed 's/^/  /' "$OUT/fleet.txt"
}

echo "== control and the number of entry nodes (3 voters, 3 groups)"
cl_setup "$OUT/fleet" 30200 spokeline 0
cl_start || exit 1
for n in 1 100 460 1000; do one_fleet $n; done
awk '/force|view_bytes|disk_long/' <(cl_get "$(cl_ops_port "$(cl_leader)")" /metrics)
cl_end

echo "== an entry node and its callers' connections"
cl_setup "$OUT/callers" 30400 spokeline 1
cl_start || exit 1
pid=${CL_PID[e0]}
m0=$(rss "$pid")
exec_conns() { # opens connections with WebSocket handshakes from a helper process
    "$CL_BUILD/ferry-callers" --count "$1" --port "$(cl_entry_port 0)" --seconds 6 &
    local h=$!
    sleep 4
    m1=$(rss "$pid"); a=$(cpu "$pid")
    sleep 1; b=$(cpu "$pid")
    echo "$1 idle callers: $(((m1 - m0) * 1024 / $1)) bytes each, $(core "$a" "$b" 1) % of a core"
    wait $h
}
exec_conns 2000
exec_conns 4000
echo "== statements through one entry node (reads; the instance has 3 slots of 0.1 ms)"
for g in 0 1 2; do for i in 0 1 2; do cl_fault $g $i '{"service_us":100,"slots":25}'; done; done
a=$(cpu "$pid")
"$CL_BUILD/ferry-load" --entries "$CL_ENTRY_LIST" --dbs "$CL_DB_LIST" --seconds 6 --rate 6000 --sessions 300 --reads 0.9 --txns 0 --json "$OUT/r.json" > /dev/null
b=$(cpu "$pid")
ok=$(awk '$1 == "\"ok\":" {gsub(/,/, "", $2); print $2}' "$OUT/r.json")
echo "$a $b $ok" | awk -v t="$TICKS" '{printf "%d statements, %.1f us of processor time each, so %.0f/s a core\n", $3, ($2 - $1) * 1e6 / t / $3, $3 * t / ($2 - $1)}'
cl_end

echo "== a statement that is forwarded: two entry nodes, one holder a group"
CL_CONTROL_JSON='"holders": 1, ' cl_setup "$OUT/forward" 30300 spokeline 2
CL_INSTANCE_ARGS="--service-us 100" cl_start || exit 1
sleep 1.5
db=""
for g in 0 1 2; do # one that e1 holds and e0 does not
    cl_get "$(cl_entry_port 0)" /metrics | grep -q "^ferry_instance_connections{instance=\"${CL_GROUPS[$g]}-${CL_DOMAINS[0]}\"} 0" && db=${CL_GROUPS[$g]}
done
if [ -z "$db" ]; then
    echo "e0 holds all three groups: not measured"
else
    a0=$(cpu "${CL_PID[e0]}"); a1=$(cpu "${CL_PID[e1]}")
    "$CL_BUILD/ferry-load" --entries "127.0.0.1:$(cl_entry_port 0)" --dbs "$db" --seconds 6 --rate 3000 --sessions 300 --reads 0.95 --txns 0 --json "$OUT/r.json" > /dev/null
    b0=$(cpu "${CL_PID[e0]}"); b1=$(cpu "${CL_PID[e1]}")
    ok=$(awk '$1 == "\"ok\":" {gsub(/,/, "", $2); print $2}' "$OUT/r.json")
    echo "$a0 $b0 $a1 $b1 $ok" | awk -v t="$TICKS" '{printf "%d statements: %.1f us of processor time at the node that forwards, %.1f us at the holder\n", $5, ($2 - $1) * 1e6 / t / $5, ($4 - $3) * 1e6 / t / $5}'
fi
cl_end
