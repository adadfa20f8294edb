#!/usr/bin/env bash
# A node that missed a thousand changes: time, bytes and messages until it acts on the last one.
# Usage: catchup.sh [rules]; a rule is three changes (intent, rule, done).
set -u
cd "$(dirname "$0")/.." || exit 2
. tests/process/cluster.sh
RULES=${1:-400}
trap cl_end EXIT
export CL_RELAY=1
cl_setup "$(mktemp -d "${TMPDIR:-/tmp}/ferry-catchup.XXXXXX")" 15000 oikonomou 3
cl_start || exit 1
gen_of() { cl_get "$(cl_entry_port "$1")" /v1/status | sed -n 's/.*"generation":\([0-9]*\).*/\1/p'; }
field() { cl_get "$port" /metrics | awk -v k="$1" '$1 == k {print $2}'; }
port=$(cl_ops_port "$(cl_leader)")
old=$(gen_of 1)
cl_cut e1
for ((k = 1; k <= RULES; k++)); do cl_one_rule "$port" "$k"; done
running() { "$CL_BUILD/ferryctl" status | grep -c ': running'; }
for ((k = 0; k < 600; k++)); do [ "$(running)" = 0 ] && break; sleep 0.1; done
sleep 0.3
last=$(gen_of 0)
b0=$(field ferry_control_view_bytes_total); v0=$(field ferry_control_views_sent_total)
t=$(date +%s%N)
cl_cut ""
for ((k = 0; k < 2000; k++)); do [ "$(gen_of 1)" -ge "$last" ] && break; sleep 0.005; done
echo "missed $((last - old)) changes, cut off: acts on the last $((($(date +%s%N) - t) / 1000000)) ms after the cut is healed, $(($(field ferry_control_view_bytes_total) - b0)) bytes in $(($(field ferry_control_views_sent_total) - v0)) message(s)"
b0=$(field ferry_control_view_bytes_total); v0=$(field ferry_control_views_sent_total)
cl_kill e2
t=$(date +%s%N)
cl_entry 2
for ((k = 0; k < 2000; k++)); do cl_ready "$(cl_entry_port 2)" && break; sleep 0.005; done
echo "restarted: ready after $((($(date +%s%N) - t) / 1000000)) ms, $(($(field ferry_control_view_bytes_total) - b0)) bytes in $(($(field ferry_control_views_sent_total) - v0)) message(s)"
[ "$(gen_of 1)" -ge "$last" ] && [ "$(gen_of 2)" -ge "$last" ]
