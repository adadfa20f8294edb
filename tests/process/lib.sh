# For the process tests: scenarios with checks. Sourced; needs cluster.sh's functions.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. tests/process/cluster.sh
T_DIR=$(mktemp -d "${TMPDIR:-/tmp}/ferry-test.XXXXXX")
T_BAD=0
t_end() {
    cl_end
    if [ $T_BAD = 0 ]; then rm -rf "$T_DIR"; else echo "logs: $T_DIR"; fi
}
trap t_end EXIT
t_say() { echo "-- $*"; }
t_fail() {
    echo "FAILED: $*"
    T_BAD=1
}
t_check() { # description command...
    local what=$1
    shift
    if "$@"; then echo "   ok: $what"; else t_fail "$what"; fi
}
# A number of ferry-load's report; dots go down.
t_report() { awk -v k="\"$1\":" '$1 == k {gsub(/[,"]/, "", $2); print $2; exit}' "$CL_DIR/report.json"; }
# Ends the load and checks that it saw no broken promise.
t_load_end() {
    cl_load_wait
    local rc=$?
    [ $rc = 0 ] || cat "$CL_DIR/load.txt"
    t_check "no promise broken, every write verified" [ $rc = 0 ]
    echo "   $(t_report acknowledged) writes acknowledged, $(t_report unknown) unknown, $(t_report not_run) not run, worst gap $(($(t_report worst_gap_us) / 1000)) ms, replica share $(t_report replica_share_percent)"
}
t_load() { cl_load --json "$CL_DIR/report.json" --rate 400 --resend "$@"; }
t_term() { "$CL_BUILD/ferryctl" status | awk -v g="${CL_GROUPS[$1]}" '$1 == g {for (i = 1; i < NF; i++) if ($i == "term") print $(i + 1)}'; }
# Waits until the command succeeds, at most 20 s.
t_until() {
    local tries
    for ((tries = 0; tries < 200; tries++)); do "$@" && return 0; sleep 0.1; done
    return 1
}
t_serving() { [ "$("$CL_BUILD/ferryctl" status 2> /dev/null | grep -c ' serving ')" = 3 ]; }
# Whether the command's output holds the pattern; use with t_check, or with t_until.
t_says() { # pattern command...
    local pattern=$1
    shift
    "$@" 2> /dev/null | grep -q -- "$pattern"
}
ctl() { "$CL_BUILD/ferryctl" "$@"; }
