#!/usr/bin/env bash
# Guards against a caller that gets the answer to another statement, or a refusal of a write that ran:
# instances send some answers twice, the second time up to a second late, perhaps to the connection's next user.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
SE_GROUPS=1 se_setup 26400
for i in 0 1 2; do se_node control $i true; se_node entry $i; done
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))
t_check "a configuration is taken" t_until se_put "$(se_document 7)" 200
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done
for i in 0 1 2; do t_check "entry node $i serves" t_until se_says "COMPLETE " $((SE_BASE + 40 + i)) "STARTUP p me" "QUERY q READ k"; done
# A repeat is not sent if its connection has been closed before, as it is soon after an error.
repeated() { se_world status | awk -v k="$1" '$1 == k {print $2}'; }

SIGNED=1 ERRORS=2 UNSIGNED=4 STATUS=8 GREETING=16
seed=500
round() { # description one_in ms kinds [least [what is counted]]
    local before what=${6:-repeated}
    t_say "$1"
    before=$(repeated "$what")
    se_world "repeats/$2/$3/$4" > /dev/null
    se_load 6 $((seed += 1)) "${P[@]}"
    se_load_end
    se_world repeats/0/0/0 > /dev/null
    [ "$2" = 0 ] || t_check "answers were sent twice" [ "$(repeated "$what")" -gt $((before + ${5:-20})) ]
    t_check "work was done" [ "$(se_count ok)" -gt 500 ]
}

round "nothing is repeated" 0 0 0
round "answers with a signature, soon" 20 30 $SIGNED
round "answers with a signature, a second late" 10 1000 $SIGNED
round "answers without a signature" 5 30 $((UNSIGNED + GREETING))
round "the status" 2 300 $STATUS 2
se_world busy/10 > /dev/null
round "one statement in ten is refused, nothing is repeated" 0 0 0
round "refusals" 5 30 $ERRORS 20 to-repeat
round "answers of all kinds" 5 100 $((SIGNED + ERRORS + UNSIGNED + STATUS + GREETING))
se_world busy/0 > /dev/null
round "answers of all kinds, a second late" 5 1000 $((SIGNED + ERRORS + UNSIGNED + STATUS + GREETING))
exit $T_BAD
