#!/usr/bin/env bash
# Control at the target's size on one machine: 940 groups of 3 instances (ferry-crowd), 3 voters, 460 entry
# nodes (ferry-fleet) that hold 51 instances each. Prints processor time, memory, bytes, the time
# of a change and of a change of primary. Usage: target.sh [groups] [nodes] [seconds]
set -u
cd "$(dirname "$0")/.." || exit 2
. tests/process/cluster.sh
GROUPS_N=${1:-940} NODES=${2:-460} SECONDS_N=${3:-40}
OUT=$(mktemp -d "${TMPDIR:-/tmp}/ferry-target.XXXXXX")
trap cl_end EXIT
TICKS=$(getconf CLK_TCK)
CROWD=32700
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
core() { echo "$1 $2 $3" | awk -v t="$TICKS" '{printf "%.1f", ($2 - $1) * 100 / t / $3}'; }

# Five failure domains; an instance's address names group and place.
cl_groups_json() {
    awk -v n="$GROUPS_N" -v port="$CROWD" 'BEGIN {
        printf "[";
        for (g = 0; g < n; g++) {
            printf "%s{\"name\":\"db%04d\",\"copies\":2,\"max_age_ms\":60000,\"instances\":[", g ? "," : "", g;
            for (i = 0; i < 3; i++)
                printf "%s{\"id\":\"db%04d-%d\",\"ip\":\"127.%d.%d.%d\",\"port\":%d,\"domain\":\"d%d\",\"max_conns\":25,\"slots\":3}",
                    i ? "," : "", g, i, 10 + i, int(g / 250), 1 + g % 250, port, (g + i) % 5;
            printf "]}";
        }
        printf "]";
    }'
}
serving() { "$CL_BUILD/ferryctl" status 2> /dev/null | grep -c ' serving '; }

CL_CONTROL_JSON='"holders": 8, ' cl_setup "$OUT" 32000 spokeline 1
cl_run crowd "$CL_BUILD/ferry-crowd" --port $CROWD
t0=$(date +%s%N)
for i in 0 1 2; do cl_control $i --bootstrap; done
for ((k = 0; k < 600; k++)); do [ "$(serving)" = "$GROUPS_N" ] && break; sleep 0.1; done
echo "$(serving) of $GROUPS_N groups serve after $((($(date +%s%N) - t0) / 1000000)) ms"
l=$(cl_leader); f=$(((l + 1) % 3))
sample() { # what: processor time of leader, follower over 5 s
    local a b c d
    a=$(cpu "${CL_PID[c$l]}"); c=$(cpu "${CL_PID[c$f]}"); sleep 5
    b=$(cpu "${CL_PID[c$l]}"); d=$(cpu "${CL_PID[c$f]}")
    echo "$1: leader $(core "$a" "$b" 5) % of a core, $(rss "${CL_PID[c$l]}") KB; follower $(core "$c" "$d" 5) % of a core, $(rss "${CL_PID[c$f]}") KB"
}
sample "no entry nodes"
"$CL_BUILD/ferry-fleet" --nodes "$NODES" --hold 51 --seconds "$SECONDS_N" --cluster "$CL_NAME" \
    $((CL_BASE + 10)) $((CL_BASE + 11)) $((CL_BASE + 12)) > "$OUT/fleet.txt" &
fleet=$!
sleep 8
sample "$NODES entry nodes"
sed -i 's/"domain": "burnaby-a"}/"domain": "d0"}/' "$CL_DIR/e0.json"
cl_entry 0
t_ready() { for ((k = 0; k < 100; k++)); do cl_ready "$(cl_entry_port 0)" && return; sleep 0.1; done; echo "the entry node is not ready"; }
t_ready; sleep 2
a=$(cpu "${CL_PID[e0]}"); sleep 4; b=$(cpu "${CL_PID[e0]}")
echo "a real entry node without callers: $(core "$a" "$b" 4) % of a core, $(rss "${CL_PID[e0]}") KB"
for k in 1 2 3; do "$CL_BUILD/ferryctl" --yes --who bench rule db0001 $((1000 + k)) > /dev/null || echo "rule failed"; sleep 0.5; done
term_of() { "$CL_BUILD/ferryctl" status 2> /dev/null | awk -v g="$1" '$1 == g && $2 == "serving" {print $4}'; }
change() { # kind address group: until the next primary is in force
    local t before now
    before=$(term_of "$3")
    t=$(date +%s%N)
    cl_post $CROWD /fault "{\"$1\":\"$2\"}" > /dev/null
    for ((k = 0; k < 200; k++)); do now=$(term_of "$3"); [ -n "$now" ] && [ "$now" != "$before" ] && break; sleep 0.05; done
    echo "primary $1 ($3) until the next one is in force, polled: $((($(date +%s%N) - t) / 1000000)) ms"
}
change dead 127.10.0.8 db0007
change silent 127.10.0.9 db0008
t=$(date +%s%N)
cl_kill "c$l"
for ((k = 0; k < 200; k++)); do "$CL_BUILD/ferryctl" --yes --who bench rule db0001 $((2000 + k)) > /dev/null 2>&1 && break; sleep 0.05; done
echo "leader killed until a change is taken again, polled: $((($(date +%s%N) - t) / 1000000)) ms"
wait $fleet
cat "$OUT/fleet.txt"
