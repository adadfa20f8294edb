#!/usr/bin/env bash
# Voters that repair themselves: disks lost one after the other, a successor at another address, a
# race of two operators, and everything lost at once right after an acknowledgement.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 27300
for i in 0 1 2; do se_node control $i true; done
se_node entry 0
members() { # of the nodes in SE_CONTROLS, as the leader knows them: "IP ID voter leader" lines
    local i
    for i in ${SE_CONTROLS:-0 1 2}; do
        curl -s -m 2 "http://$(se_ip "$i"):$((SE_BASE + 20))/v1/members" | tr '{' '\n' |
            sed -n 's/.*"id":"\([0-9a-f]*\)".*"voter":\([a-z]*\),"ip":"\([0-9.]*\)".*"leader":\([a-z]*\).*/\3 \1 \2 \4/p' > "$SE_DIR/m$i"
        grep -q "^$(se_ip "$i") .* true true" "$SE_DIR/m$i" && { awk '$3 == "true" {print $1, $2}' "$SE_DIR/m$i" | sort; return; }
    done
}
# Just these nodes vote, each under the identity that its disk has now.
voters_are() { [ "$(members)" = "$(for i in "$@"; do echo "$(se_ip "$i") $(identity "$i")"; done | sort)" ]; }
identity() { curl -s -m 2 "http://$(se_ip "$1"):$((SE_BASE + 20))/v1/status" | sed -n 's/.*"id":"\([0-9a-f]*\)".*/\1/p'; }
another_identity() { local id; id=$(identity "$1"); [ -n "$id" ] && [ "$id" != "$2" ]; }
lose_disk() { # index
    se_kill "c$1"
    rm -rf "$SE_DIR/data-c$1"
    se_node control "$1" false
}
t_check "a configuration is acknowledged" se_put "$(se_document 7)" 200
t_check "three vote" t_until voters_are 0 1 2

for i in 1 2 0; do
    t_say "node $i loses its disk"
    old=$(identity $i)
    lose_disk $i
    t_check "it is another member" t_until another_identity $i "$old"
    t_check "it votes again, in the place of the lost one" t_until voters_are 0 1 2
    t_check "nothing is lost" [ "$(se_version)" = 7 ]
done

t_say "node 0 is gone for good; an empty one comes at another address, told of old seeds"
se_kill c0
SE_CONTROLS="1 2 3" se_node control 3 false
export SE_CONTROLS="1 2 3"
t_check "it votes and the old one does not" t_until voters_are 1 2 3
t_check "nothing is lost" [ "$(se_version)" = 7 ]
t_check "a change is taken" se_put "$(se_document 9)" 200

t_say "two operators change it at once, under one version"
a=$(se_document 20 ',{"name":"ra","host":"a","kind":"primary","timeoutMs":900,"service":"reg0"}')
b=$(se_document 20 ',{"name":"rb","host":"bb","kind":"primary","timeoutMs":900,"service":"reg0"}')
se_put "$a" 200 & first=$!
se_put "$b" 200
wait $first
se_order /api/config/fetch > /dev/null; one=$(cat "$SE_DIR/answer")
one_of_both() { [ "$one" = "$a" ] || [ "$one" = "$b" ]; }
t_check "one of the two is in force, whole" one_of_both
se_put "$b" 200; se_put "$a" 200
se_order /api/config/fetch > /dev/null
t_check "and stays" [ "$(cat "$SE_DIR/answer")" = "$one" ]

for round in 1 2 3; do
    t_say "a change is acknowledged; all are killed at once, one of them loses its disk ($round)"
    t_check "acknowledged" se_put "$(se_document $((30 + round)))" 200
    for i in 1 2 3; do se_kill c$i; done
    rm -rf "$SE_DIR/data-c$round"
    for i in 1 2 3; do se_node control $i false; done
    t_check "it is there" t_until bash -c ". tests/process/sessions.sh; SE_BASE=$SE_BASE SE_DIR=$SE_DIR; [ \"\$(se_version)\" = $((30 + round)) ]"
    t_check "three vote" t_until voters_are 1 2 3
done

t_say "the entry node has followed all the way"
t_check "ready" t_until se_ready 0
t_check "the newest configuration is obeyed there" grep -q '"document_in_force","document":"33"' "$SE_DIR/e0.log"
exit $T_BAD
