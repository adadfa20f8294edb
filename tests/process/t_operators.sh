#!/usr/bin/env bash
# What operators ask of a running system: its entry nodes by how full they are, and its client accounts by use.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 30600
for i in 0 1 2; do se_node control $i true; done
SE_NODE_JSON=',"link_mbps":2,"cores":0.1' se_node entry 0
for i in 1 2; do SE_NODE_JSON=',"link_mbps":100,"cores":0.3' se_node entry $i; done
export FERRY_CONTROL="$(se_ip 0):$((SE_BASE + 20)),$(se_ip 1):$((SE_BASE + 20)),$(se_ip 2):$((SE_BASE + 20))"
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))

keys() { local i out=""; for i in "$@"; do out+="\"secret-$i.\","; done; echo "[${out%,}]"; }
accounts() {
    printf ',"tenants":[{"name":"large","keys":%s,"ratePerS":4000,"burst":4000},{"name":"middle","keys":%s,"ratePerS":300,"burst":300},{"name":"small","keys":%s,"ratePerS":4,"burst":4}]' \
        "$(keys 0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17)" "$(keys 18 19 20)" "$(keys 21 22 23)"
}
document=$(se_document 7)
t_check "a document with accounts of uneven size is acknowledged" se_put "${document%\}}$(accounts)}" 200
# If it was not: how long control's disks took.
[ $T_BAD = 0 ] || for i in 0 1 2; do curl -s "http://$(se_ip $i):$((SE_BASE + 20))/metrics" | grep -E 'disk_(syncs|longest)|_term '; done
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done
ask() { ctl "$@" > "$SE_DIR/out" 2> "$SE_DIR/err"; }
line() { awk -v name="$1" '$1 == name' "$SE_DIR/out"; }
field() { line "$1" | awk -v n="$2" '{print $n}'; } # of a line, by number
holds() { awk -v v="$1" "BEGIN {exit !(v $2)}"; }   # a number and what it has to be
metric() { se_metric_sum "$1" 0 1 2; }

# A session that comes before its group is there is served where it came.
knows_all() { [ "$(metric ferry_session_nodes)" = 9 ] && [ "$(metric ferry_session_groups_held)" = 3 ]; }
t_check "each knows the three, and the group" t_until knows_all

# Through every node one session of the middle account, which is placed at one: two are passed on.
ask_through_all() {
    local i
    for i in 0 1 2; do
        (
            exec 8<> "/dev/tcp/127.0.0.1/${P[$i]}"
            printf 'STARTUP p secret-18.\r\n' >&8
            for ((k = 0; k < 100; k++)); do
                printf 'QUERY q%s READ x\r\n' "$k" >&8
                sleep 0.05
            done
        ) 2> /dev/null &
    done
}

t_say "nodes, under load"
se_load 9 21 "${P[@]}"
ask_through_all
sleep 2
t_check "they are told of" ask nodes
t_check "all three" [ "$(grep -c '^e[0-9] .* held ' "$SE_DIR/out")" = 3 ]
t_check "the one with the small link is the fullest" [ "$(awk '/^e/ {print $1; exit}' "$SE_DIR/out")" = e0 ]
t_check "and not strong" bash -c "! grep -q '^e0 .*strong' '$SE_DIR/out'"
t_check "the others are" [ "$(grep -c '^e[12] .* strong ' "$SE_DIR/out")" = 2 ]
t_check "what its VM is told to carry stands there" holds "$(field e0 4)" '== 89'
t_check "two pass statements to the third" [ "$(awk '/^e/ && $(NF - 1) + 0 > 0 {n++} END {print n + 0}' "$SE_DIR/out")" -ge 2 ]
t_check "as data: bytes, statements, groups" bash -c "$CL_BUILD/ferryctl --json nodes > '$SE_DIR/nodes.json' && python3 -c '
import json, sys
n = json.load(open(sys.argv[1]))
assert len(n) == 3 and all(x[\"answered\"] for x in n)
assert sum(x[\"sessions\"] for x in n) > 0 and sum(x[\"connections\"] for x in n) > 0
passed, served = (sum(x[k] for x in n) for k in (\"passed_s\", \"served_s\"))
assert passed > 0 and abs(passed - served) <= 0.3 * passed
assert all(x[\"out_s\"] > 0 and x[\"in_s\"] > 0 for x in n)
assert sorted(x[\"link\"] for x in n) == [250000, 12500000, 12500000]' '$SE_DIR/nodes.json'"

t_say "accounts, under load"
t_check "they are told of" ask accounts
t_check "the one that asks for most is the first" [ "$(awk 'NR == 2 {print $1}' "$SE_DIR/out")" = large ]
t_check "the limits stand there" [ "$(field large 2) $(field middle 2) $(field small 2)" = "4000.0 300.0 4.0" ]
t_check "the large one's rate now" holds "$(field large 4)" '> 10'
t_check "the small one is refused" holds "$(field small 7)" '> 0'
t_check "places are told" grep -q '^small .* e[0-9] (1)$' "$SE_DIR/out"
se_load_end

t_say "what was begun is what metrics tell"
ask accounts
for a in large middle small; do
    t_check "$a" [ "$(field "$a" 6)" = "$(metric "ferry_session_account_begun_total{account=\"$a\"}")" ]
done
t_check "one account, group by group" ask accounts small
t_check "where its operations begin" grep -qx 'reg0  *e[0-9]' "$SE_DIR/out"
t_check "one that nobody lists" bash -c "$CL_BUILD/ferryctl accounts nobody | grep -q 'does not list it'"

t_say "a node that does not answer is named, and holds up nobody"
kill -STOP "${SE_PID[e2]}"
ask nodes
t_check "by name and address" grep -q "^e2 .* no answer from 127.0.0.1:$((SE_BASE + 62))" "$SE_DIR/out"
t_check "the others are there" [ "$(grep -c '^e[01] .* | ' "$SE_DIR/out")" = 2 ]
kill -CONT "${SE_PID[e2]}"
t_check "no control node: said so" bash -c "FERRY_CONTROL=127.0.0.1:1 $CL_BUILD/ferryctl accounts 2>&1 | grep -q 'no control node answers'"
exit $T_BAD
