#!/usr/bin/env bash
# The measures: prints them with their baselines and compares the counts with the committed bounds.
set -u
cd "$(dirname "$0")/.." || exit 2
export CL_BUILD=${CL_BUILD:-build}
failed=0
part() { echo; echo "### $1"; shift; "$@" || { echo "FAILED: $*"; failed=1; }; }

latency() {
    . tests/process/cluster.sh
    trap cl_end EXIT
    cl_setup "$(mktemp -d "${TMPDIR:-/tmp}/ferry-latency.XXXXXX")" 30600 oikonomou 1
    CL_INSTANCE_ARGS="--service-us 1 --ship-us 0" cl_start || return 1
    sleep 1
    "$CL_BUILD/ferry-load" --entries "$CL_ENTRY_LIST" --dbs "$CL_DB_LIST" --compare "127.0.0.1:$(cl_instance_port 0 "$(cl_primary 0)")" --requests 20000
    cl_end
}
replicas() {
    . tests/process/cluster.sh
    trap cl_end EXIT
    local lag only
    for only in false true; do
        for lag in 5000 100000 2000000; do
            CL_ENTRY_JSON="\"primary_only\": $only, " cl_setup "$(mktemp -d "${TMPDIR:-/tmp}/ferry-reads.XXXXXX")" 30800 oikonomou 4
            CL_INSTANCE_ARGS="--apply-us $lag" cl_start || return 1
            sleep 1
            "$CL_BUILD/ferry-load" --entries "$CL_ENTRY_LIST" --dbs "$CL_DB_LIST" --seconds 5 --rate 800 --json "$CL_DIR/r.json" > "$CL_DIR/r.txt" || { cat "$CL_DIR/r.txt"; failed=1; }
            printf 'lag %4d ms, primary only %-5s: ' $((lag / 1000)) $only
            grep '^reads ' "$CL_DIR/r.txt"
            cl_end
        done
    done
}

part "decisions: instructions and bounds" bash bench/bounds.sh
part "agreement: random schedules" "$CL_BUILD/explore" 200000
part "reads by replicas, simulated, with an oracle" "$CL_BUILD/ferry-bench" reads
part "reads by replicas, real processes, sessions that roam" replicas
part "admission" "$CL_BUILD/ferry-bench" overload
part "sizes" "$CL_BUILD/ferry-bench" sizes
part "the cost of an entry node" latency
part "capacity" bash bench/capacity.sh
part "the target's size" bash bench/target.sh
part "catching up" bash bench/catchup.sh
part "failover" bash bench/failover.sh 5
exit $failed
