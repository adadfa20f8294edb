#!/usr/bin/env bash
# ferryctl worth on a recorded log: lines of 24 nodes from the seconds after all VMs had lost power.
. "$(dirname "$0")/lib.sh"
LOG=tests/process/data/return.log
worth() { ctl worth "$@" > "$T_DIR/out" 2>&1; }
# A line that begins with these words, however many blanks stand between them.
line() { tr -s ' ' < "$T_DIR/out" | sed 's/^ //' | grep -qx -- "$1"; }

t_check "a recorded log is read" worth "$LOG" --svg "$T_DIR/worth.svg"
t_check "nodes, time and failures" line '24 nodes, 2.5 s, 14 failures in the logs'
t_check "what waited for a route" line 'waited for a route 3 21.4 %'
t_check "what found no connection free" line 'no connection free 7 50.0 %'
t_check "what instances refused" line 'instances refused 4 28.6 %'
t_check "the return begins with the processes" line '6 processes start from 0.0 s on'
t_check "the leases' phase" line 'has a lease half within 1.0 s, the last within 1.0 s'
t_check "the window with the leader" line '0.5 0 0 0 0 0 0 0 0 5 5 4 1'
t_check "the window with the refusals" line '1.0 0 0 7 4 0 0 0 0 0 0 0 0'
t_check "the picture has a bar a cause and window" [ "$(grep -c "<rect.*: \(route\|conn\.\|instance\), [347]<" "$T_DIR/worth.svg")" = 3 ]
t_check "and the leader's mark" grep -q '1 leaders, 0 changes of primary, 5 leases' "$T_DIR/worth.svg"
split -l 12 "$LOG" "$T_DIR/part."
t_check "the same in pieces, in any order" worth "$T_DIR"/part.ac "$T_DIR"/part.aa "$T_DIR"/part.ad "$T_DIR"/part.ab
t_check "is the same" line 'no connection free 7 50.0 %'
t_check "a file that is not there is an error" bash -c "! $CL_BUILD/ferryctl worth nowhere.log 2> /dev/null"
t_check "a file without our lines as well" bash -c "! $CL_BUILD/ferryctl worth README.md > /dev/null"

t_say "each cause has its name"
FAILURES=tests/process/data/failures.log
t_check "lines of each kind are read" worth "$FAILURES"
sum=$(($(grep -c request_failed "$FAILURES") + $(grep -c session_ "$FAILURES")))
t_check "all of them count" grep -q ", $sum failures in the logs" "$T_DIR/out"
while read -r n what; do
    t_check "$what" grep -qE "^  $what +$n +[0-9.]+ %$" "$T_DIR/out"
done << 'CAUSES'
2 over the account's limit
1 no permit came
2 cut off from control
1 waited for a route
1 no connection free
1 deadline before it was sent
1 instances refused
2 no answer
1 lost with the write on its way
1 transaction aborted
1 failed at the instance
1 holder lost
2 holder ended
1 connection closed
1 key unknown
1 database unknown
1 other
CAUSES

t_say "time by stage"
# Two lines of each of two nodes: (1483 x 29.9 + 3632 x 21.8) / 5115 and so on.
t_check "the node with the longest waits is the first" [ "$(grep -A 4 'by stage' "$T_DIR/out" | awk '$1 ~ /^10[.]/ {print $1}' | tr '\n' ' ')" = "10.3.0.16 10.1.0.35 " ]
t_check "all nodes' statements and their mean" line 'all nodes 8487 1.2 12292 23.1 12257 2.0 12115 30.2 3475 25.3'
exit $T_BAD
