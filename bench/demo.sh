#!/usr/bin/env bash
# The whole path on this machine, for both deployments: control, entry nodes, instances, load; a
# primary is killed in the middle. Exits 0 only if nothing was lost or doubled.
set -u
cd "$(dirname "$0")/.." || exit 2
. tests/process/cluster.sh
OUT=${FERRY_DEMO_DIR:-$(mktemp -d "${TMPDIR:-/tmp}/ferry-demo.XXXXXX")}
trap cl_end EXIT
failed=0

show_path() { # a write through one entry node, a read through another
    local w r token
    w=$(cl_post "$(cl_entry_port 0)" /v1/request "{\"id\":\"demo-$1\",\"account\":\"demo\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"write\",\"stmt\":\"mark demo-$1 parcel7\"}")
    token=$(sed -n 's/.*"token":"\([^"]*\)".*/\1/p' <<< "$w")
    r=$(cl_post "$(cl_entry_port 1)" /v1/request "{\"id\":\"r1\",\"account\":\"demo\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"read\",\"stmt\":\"get parcel7\",\"token\":\"$token\"}")
    echo "write through e0: $w"
    echo "read through e1:  $r"
    sleep 0.6
    r=$(cl_post "$(cl_entry_port 2)" /v1/request "{\"id\":\"r2\",\"account\":\"demo\",\"db\":\"${CL_GROUPS[0]}\",\"kind\":\"read\",\"stmt\":\"get parcel7\",\"age_ms\":500}")
    echo "aged read by e2:  $r"
    grep -q '"value":"parcel7=1".*"replica":true' <<< "$r" || { echo "the aged read was not served by a replica"; failed=1; }
}

one() { # deployment base_port
    echo "== $1: 3 control nodes, 4 entry nodes, 3 groups of 3 instances"
    cl_setup "$OUT/$1" "$2" "$1" 4
    cl_start || { failed=1; return; }
    show_path "$1"
    cl_load --seconds 8 --rate 500 --resend --json "$CL_DIR/report.json" --svg "$CL_DIR/load.svg"
    sleep 3
    local p
    p=$(cl_primary 0)
    echo "killing the primary of ${CL_GROUPS[0]}, instance ${CL_DOMAINS[$p]}"
    cl_kill "i0$p"
    cl_load_wait || failed=1
    cat "$CL_DIR/load.txt"
    "$CL_BUILD/ferryctl" timeline --group "${CL_GROUPS[0]}" --svg "$CL_DIR/failover.svg" | sed -n '/^changes of primary/,$p'
    cl_end
    echo "logs, report and pictures: $CL_DIR"
    echo
}

one spokeline 21000
one oikonomou 22000
[ $failed = 0 ] && echo "demo: nothing lost, nothing doubled" || echo "demo: FAILED"
exit $failed
