#!/usr/bin/env bash
# Control nodes without a disk: they say who leads and vote on nothing; what they do not see is no
# evidence against an instance.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 31200
observer() { # index: a control node whose settings name no data folder
    local name=c$1
    se_settings control "$1" "${SE_SEEDS:-$(se_seeds)}" | sed 's/"data":"[^"]*",//' > "$SE_DIR/$name.json"
    se_start "$name" "$CL_BUILD/ferryd" --config "$SE_DIR/$name.json"
}
for i in 0 1 2; do se_node control $i true; done
for i in 3 4 5; do observer $i; done
se_node entry 0
t_check "a configuration is acknowledged" se_put "$(se_document 7)" 200
sent_on() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(se_ip 3):$((SE_BASE + 20))/api/config/fetch")" = 307 ]; }
t_check "an observer sends operators to the leader" t_until sent_on
t_check "the entry node is ready" t_until se_ready 0

t_say "answers break off: the primary is suspected, and nothing is wrong with it"
se_load 4 21 $((SE_BASE + 40))
for k in 1 2 3 4 5 6; do sleep 0.5; se_world halves/10 > /dev/null; done
se_load_end
t_check "work was done" [ "$(se_count ok)" -gt 500 ]
# The leader and the one node that takes callers are two; a third can only be an observer.
t_check "no observer counts against the primary" [ "$(cat "$SE_DIR"/c*.log | grep -c 'down for [3-9] nodes')" = 0 ]

t_say "an observer has nothing to do with instances, and no change of primary waits for it"
t_check "nobody but the proxy's lines speaks to instances" [ "$(se_world status | awk '$1 == "strangers" {print $2}')" = 0 ]
leases() { for i in 0 1 2; do curl -s -m 2 "http://$(se_ip $i):$((SE_BASE + 20))/v1/status"; echo; done | grep '"leads":true' | sed 's/.*"entry_nodes":\([0-9]*\).*/\1/'; }
t_check "the one node that takes callers has a lease, observers have none" [ "$(leases)" = 1 ]

t_say "the settings name observers only by now, and all processes start anew at once"
for n in c0 c1 c2 c3 c4 c5 e0; do se_kill $n; done
SE_SEEDS="\"$(se_ip 3):$((SE_BASE + 20))\",\"$(se_ip 4):$((SE_BASE + 20))\",\"$(se_ip 5):$((SE_BASE + 20))\""
for i in 3 4 5; do observer $i; done
se_node entry 0
for i in 0 1 2; do se_node control $i false; done
t_check "the entry node finds the voters through observers" t_until se_ready 0
t_check "an observer sends operators to the leader again" t_until sent_on
t_check "the configuration is there" [ "$(se_version)" = 7 ]
exit $T_BAD
