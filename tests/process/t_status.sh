#!/usr/bin/env bash
# Guards against a successor that is chosen by what instances reported earlier: an instance sends answers
# to STATUS twice, the second time while the primary is being replaced. Commits need one replica.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
SE_COPIES=1 SE_TIMEOUT_MS=500
se_setup 26700
for i in 0 1 2; do se_node control $i true; se_node entry $i; done
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))
se_world copies/0/1 > /dev/null
t_check "a configuration is taken" t_until se_put "$(se_document 7)" 200
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done
for i in 0 1 2; do t_check "entry node $i serves" t_until se_says "COMPLETE " $((SE_BASE + 40 + i)) "STARTUP p me" "QUERY q READ k"; done
leads() { [ "$(se_primary)" = "$1" ]; }
received() { se_world status | awk -v i="$1" '$1 == "instance" && $2 == 0 && $3 == i {for (n = 4; n < NF; n++) if ($n == "received") print $(n + 1)}'; }
is_level() { [ "$(received 0)" = "$(received 1)" ] && [ "$(received 1)" = "$(received 2)" ]; }
repeated() { se_world status | awk '$1 == "repeated" {print $2}'; }

# The successor has reported little; the other replica reported more, and receives nothing since.
for round in 1 2 3; do
    t_say "round $round: the replica that has everything repeats what it reported before"
    t_until is_level
    A=$(se_primary) B=$(((A + 1) % 3)) C=$(((A + 2) % 3)) before=$(repeated)
    se_load 7 $((60 + round)) "${P[@]}"
    se_world "keep-status/0/$B/1" > /dev/null; sleep 1.5
    sleep 1; se_world "deaf/0/$C/1" > /dev/null
    sleep 0.5; se_world "keep-status/0/$B/0" > /dev/null; se_world "kill/0/$A" > /dev/null
    t_check "it leads, not the one behind" t_until leads "$B"
    se_world "deaf/0/$C/0" > /dev/null
    se_load_end
    t_check "the status was sent twice" [ "$(repeated)" -gt "$before" ]
    se_world "revive/0/$A" > /dev/null
done
exit $T_BAD
