#!/usr/bin/env bash
# Not a case of the review: shows use of freed memory in control, with a build that checks for it.
#   meson setup DIR -Db_sanitize=address -Db_lundef=false -Dwerror=false && ninja -C DIR ferryd
#   CHECKED=DIR/ferryd bash review/leavers/run.sh
# Instances are replaced; after each, the operator's tool sends a configuration that is invalid.
# Fails if a control process ends by itself or acknowledges one of these. record.txt has the calls.
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
RECORD=$CASE_DIR/record.txt # what was sent, answered and run
. "$CASE_DIR/../common-2.sh"
FERRYD=${CHECKED:-$FERRYD}
export ASAN_OPTIONS=detect_leaks=0
SERVICES=3
for p in $(seq 100 $((99 + 9 * SERVICES))); do is_free $((BASE + p)) || cannot_run "port $((BASE + p)) is taken"; done
start_world 20 8
for i in 0 1 2; do start_control $i true; done
start_entry 0
operator 20 POST /api/config/replace "$(document 7)" || cannot_run "no configuration is acknowledged"
wait_ready 0
start leavers "$RV2" leavers "$RECORD" $((BASE + 100)) $SERVICES 20 "$([ "$TROUBLE" != 0 ] && echo leave || echo stay)" \
    "$(control_ip 0):$((BASE + 20))" "$(control_ip 1):$((BASE + 20))" "$(control_ip 2):$((BASE + 20))"
wait "${PIDS[leavers]}"
RESULT=0
for n in control-0 control-1 control-2; do
    kill -0 "${PIDS[$n]}" 2> /dev/null && continue
    RESULT=1
    note "$n has ended by itself"
    echo "$n has ended by itself: $(grep -h -m 1 -A 3 'ERROR: AddressSanitizer' "$TMP/$n.log" | tr '\n' ' ' | cut -c1-300)"
done
grep -E 'invalid configuration .*: 200$' "$RECORD" && RESULT=1
exit $RESULT
