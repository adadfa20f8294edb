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
t_check "what waited for a connection" line 'waited for a connection 7 50.0 %'
t_check "what failed at the instance" line 'at the instance 4 28.6 %'
t_check "the return begins with the processes" line '6 processes start from 0.0 s on'
t_check "the leases' phase" line 'has a lease half within 1.0 s, the last within 1.0 s'
t_check "the window with the leader" line '0.5 0 0 0 0 0 0 0 5 5 4 1'
t_check "the window with the refusals" line '1.0 0 7 4 0 0 0 0 0 0 0 0'
t_check "the picture has a bar a cause and window" [ "$(grep -c "<rect.*: waited\|<rect.*: at the" "$T_DIR/worth.svg")" = 3 ]
t_check "and the leader's mark" grep -q '1 leaders, 0 changes of primary, 5 leases' "$T_DIR/worth.svg"
split -l 12 "$LOG" "$T_DIR/part."
t_check "the same in pieces, in any order" worth "$T_DIR"/part.ac "$T_DIR"/part.aa "$T_DIR"/part.ad "$T_DIR"/part.ab
t_check "is the same" line 'waited for a connection 7 50.0 %'
t_check "a file that is not there is an error" bash -c "! $CL_BUILD/ferryctl worth nowhere.log 2> /dev/null"
t_check "a file without our lines as well" bash -c "! $CL_BUILD/ferryctl worth README.md > /dev/null"
exit $T_BAD
