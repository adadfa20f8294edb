#!/usr/bin/env bash
# Commits that are acknowledged once a replica has received them: none is missing from the log of an
# instance that takes over, whichever replica receives nothing, dies, drains or comes back meanwhile.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
SE_COPIES=1 SE_TIMEOUT_MS=500
se_setup 28200
for i in 0 1 2; do se_node control $i true; se_node entry $i; done
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))
se_world copies/0/1 > /dev/null
t_check "a configuration is acknowledged" se_put "$(se_document 7)" 200
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done

leads() { [ "$(se_primary)" = "$1" ]; }
received() { se_world status | awk -v i="$1" '$1 == "instance" && $2 == 0 && $3 == i {for (n = 4; n < NF; n++) if ($n == "received") print $(n + 1)}'; }
is_level() { [ "$(received 0)" = "$(received 1)" ] && [ "$(received 1)" = "$(received 2)" ]; }
orders() { se_world status | awk '$1 == "orders" {print $2}'; }
waits() { cat "$SE_DIR"/c?.log | grep '"event":"change_waits_for_copies".*"waits":"1"'; }
waited() { waits | grep -q .; }
# A wait while both replicas answer. Where the machine is busy, they may not, and are waited for.
waited_in_vain() { waits | grep -q ':up:.*:up:'; }
# The primary in A, the other two in B and C.
name_instances() { A=$(se_primary) B=$(((A + 1) % 3)) C=$(((A + 2) % 3)); }

t_say "all receive: the primary dies"
name_instances
se_load 4 21 "${P[@]}"
sleep 1; se_world "kill/0/$A" > /dev/null
se_load_end
t_check "another leads" t_until test "$(se_primary)" != "$A"
waited_in_vain && t_fail "replicas that answer are waited for: $(waits | head -2)"
se_world "revive/0/$A" > /dev/null

t_say "a replica receives nothing, and the primary dies"
t_until is_level
se_load 9 22 "${P[@]}"
sleep 1; name_instances; se_world "deaf/0/$C/1" > /dev/null
sleep 0.3; se_world "kill/0/$A" > /dev/null
sleep 6
t_check "the other one leads and stays" leads "$B"
se_world "deaf/0/$C/0" > /dev/null
se_load_end
t_check "it still leads" leads "$B"
se_world "revive/0/$A" > /dev/null

t_say "the only replica that received dies with the primary, then the leader of control"
t_until is_level
se_load 9 23 "${P[@]}"
sleep 1; name_instances; se_world "deaf/0/$C/1" > /dev/null
sleep 0.3; se_world "kill/0/$B" > /dev/null; se_world "kill/0/$A" > /dev/null
sleep 2
n=$(orders)
t_check "the change waits and says so" waited
l=$(se_leader)
se_kill "c$l"
sleep 2
t_check "nobody was called for" [ "$(orders)" = "$n" ]
t_check "the primary is still the dead one" leads "$A"
se_world "revive/0/$B" > /dev/null
t_check "back, the replica leads" t_until leads "$B"
se_world "deaf/0/$C/0" > /dev/null; se_world "revive/0/$A" > /dev/null
se_node control "$l" false
se_load_end

t_say "the primary dies with nobody to take over, and comes back"
t_until is_level
se_load 5 24 "${P[@]}"
sleep 1; name_instances; se_world "deaf/0/$C/1" > /dev/null
sleep 0.3; se_world "kill/0/$B" > /dev/null; se_world "kill/0/$A" > /dev/null
sleep 1.5
se_world "revive/0/$A" > /dev/null
t_check "it leads" leads "$A"
sleep 1; se_world "revive/0/$B" > /dev/null; se_world "deaf/0/$C/0" > /dev/null
se_load_end

t_say "entry nodes that hold no connections relay sessions, and the primary dies"
few() { se_document "$1" | sed 's/"maxConns":25/"maxConns":5/'; }
for i in 3 4 5; do se_node entry $i; done
t_check "five connections an instance, for six nodes" se_put "$(few 8)" 200
for i in 3 4 5; do t_check "entry node $i is ready" t_until se_ready $i; done
t_until is_level
se_load 11 27 "${P[@]}" $((SE_BASE + 43)) $((SE_BASE + 44)) $((SE_BASE + 45))
sleep 2; name_instances; se_world "deaf/0/$C/1" > /dev/null
sleep 0.3; se_world "kill/0/$A" > /dev/null
sleep 6
t_check "the other one leads and stays" leads "$B"
se_world "deaf/0/$C/0" > /dev/null
se_load_end
t_check "sessions were relayed" [ "$(se_metric_sum ferry_session_relayed_total 0 1 2 3 4 5)" -gt 0 ]
se_world "revive/0/$A" > /dev/null
for i in 3 4 5; do se_kill "e$i" TERM; done
t_check "connections for all again" se_put "$(se_document 9)" 200

t_say "the primary drains while a replica receives nothing"
t_until is_level
se_load 5 25 "${P[@]}"
sleep 1; name_instances; se_world "deaf/0/$C/1" > /dev/null
sleep 0.3; se_world "drain/0/$A" > /dev/null
t_check "the other one leads" t_until leads "$B"
se_world "deaf/0/$C/0" > /dev/null
se_load_end

t_say "a draining replica alone has what was acknowledged, and the primary dies"
t_until is_level
D=$A
se_load 8 26 "${P[@]}"
sleep 1; name_instances
other=$((3 - A - D)) # the instance that is neither primary nor draining
se_world "deaf/0/$other/1" > /dev/null
sleep 0.3; se_world "kill/0/$A" > /dev/null
t_check "the draining one leads" t_until leads "$D"
sleep 1.5
t_check "it does not hand over to the one behind" leads "$D"
se_world "deaf/0/$other/0" > /dev/null
t_check "once that has everything, it leads" t_until leads "$other"
se_load_end
exit $T_BAD
