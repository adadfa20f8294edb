#!/usr/bin/env bash
# Client accounts on the outside interface: keys, connections of accounts, limits over all nodes, keys taken
# away, the leader lost meanwhile; calls of instances from another writer; and no key in any log.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 31000
for i in 0 1 2; do se_node control $i true; se_node entry $i; done
P=($((SE_BASE + 40)) $((SE_BASE + 41)) $((SE_BASE + 42)))
RATE=4 BURST=4

keys() { local i out=""; for i in "$@"; do out+="\"secret-$i.\","; done; echo "[${out%,}]"; }
accounts() { # keys of the account with a limit
    printf ',"tenants":[{"name":"even","keys":%s},{"name":"odd","keys":%s},{"name":"capped","keys":%s,"ratePerS":%s,"burst":%s}]' \
        "$(keys 0 2 4 6 8 10 12 14 16 18 20)" "$(keys 1 3 5 7 9 11 13 15 17 19 21)" "$1" $RATE $BURST
}
document() { # version accounts
    local d
    d=$(se_document "$1")
    echo "${d%\}}$2}"
}
ran() { se_world status | awk -v a="$1" '$1 == "account" && $2 == a {n = $4} END {print n + 0}'; }

t_say "documents with accounts are checked"
t_check "a key in two accounts is refused" se_put "$(document 6 ',"tenants":[{"name":"a","keys":["x"]},{"name":"b","keys":["x"]}]')" 400
t_check "an account without keys that can be read is refused" se_put "$(document 6 ',"tenants":[{"name":"a","keys":[7]}]')" 400
t_check "a valid one is acknowledged" se_put "$(document 7 "$(accounts "$(keys 22 23)")")" 200
for i in 0 1 2; do t_check "entry node $i is ready" t_until se_ready $i; done

t_say "statements run for the account of their caller's key, within its limit"
before=$(ran capped)
se_load 8 11 "${P[@]}"
sleep 2
t_check "an unknown key gets no session" se_says "ERROR UNAUTH" "${P[0]}" "STARTUP p nobodys-key"
se_load_end
t_check "accounts without a limit are served" [ "$(ran even)" -gt 500 -a "$(ran odd)" -gt 500 ]
begun=$(($(ran capped) - before))
# Statements, of which an operation has several at times: operations are fewer.
t_check "the limited one is served ($begun statements)" [ $begun -gt $((RATE * 4)) ]
t_check "instances heard of no other account" [ "$(se_world status | awk '$1 == "account" && $4 > 0 {print $2}' | sort | tr '\n' ' ')" = "capped even odd " ]
permits=$(for i in 0 1 2; do curl -s "http://127.0.0.1:$((SE_BASE + 60 + i))/metrics"; done |
    sed -n 's/^ferry_session_account_begun_total{account="capped"} //p' | awk '{n += $1} END {print n + 0}')
# 8 s of rate, the burst and the tolerance of one window, and as much for the next that began.
t_check "its operations stay within ($permits begun)" [ "$permits" -gt 20 -a "$permits" -le $((RATE * 10 + BURST + 44)) ]

t_say "the leader is killed and a key is taken away meanwhile"
se_load 7 12 "${P[@]}"
sleep 1; se_kill c0
t_check "acknowledged" se_put "$(document 9 "$(accounts "$(keys)")")" 200
sleep 2; gone=$(ran capped)
se_load_end
t_check "none of its statements runs any more" [ "$(ran capped)" = "$gone" ]
t_check "the others go on" [ "$(ran even)" -gt 1000 ]
t_check "a session with it is refused on each node" bash -c ". $(dirname "$0")/sessions.sh; for p in ${P[*]}; do se_says 'ERROR UNAUTH' \$p 'STARTUP p secret-22.' || exit 1; done"
se_node control 0 false

t_say "calls of instances from another writer change nothing and are refused"
call() { # body
    se_order /api/instances/i-0-0/heartbeat "$1"
}
good='"service":"reg0","address":"127.0.0.1:9","zone":"z0","version":"v1","capacity":3,"state":"ready","warmupLeftMs":0,"dbRole":"replica","callSeq":99999'
for bad in 's/"capacity":3/"capacity":"3"/' 's/"state":"ready"/"state":"asleep"/' 's/"callSeq":99999/"callSeq":"x"/' \
    's/"dbRole":"replica",//' 's/"callSeq":99999/"callSeq":99999,"born":1.5/' 's/"zone":"z0"/"zone":7/' 's/.*/{/'; do
    t_check "$bad" [ "$(call "{$(sed "$bad" <<< "$good")}")" = 400 ]
done
se_load 2 13 "${P[@]}"
se_load_end
t_check "the instance is where it was" [ "$(se_count ok)" -gt 300 ]

t_say "a key that nobody has is told of in the log"
t_check "with its cause" grep -q '"event":"session_refused".*"kind":"no_account"' "$SE_DIR/e0.log"
bash -c "$CL_BUILD/ferryctl worth $SE_DIR/e?.log" > "$SE_DIR/worth.txt"
t_check "and counted" grep -q '^  key unknown ' "$SE_DIR/worth.txt"

t_say "no key stands in a log or metric"
for i in 0 1 2; do curl -s "http://127.0.0.1:$((SE_BASE + 60 + i))/metrics" > "$SE_DIR/m$i.log"; done
t_check "none of them" bash -c "! grep -l -e 'secret-[0-9]' -e nobodys-key $SE_DIR/*.log"
exit $T_BAD
