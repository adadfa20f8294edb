# For the scripts of the second review. A small deployment: three control processes and entry
# processes of one zone, with the settings that deploy/control.json and deploy/entry.json make of
# the users' bounds, started with the command of deploy/system.toml; rv2 is everything outside of
# the project. Sourced by run.sh, which sets
# CASE_DIR and RECORD. Ports from BASE on are looked for free.
#
# Exit status of a script: 0 the rule held, 1 it was broken, 2 the case couldn't run.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TROUBLE=${TROUBLE:-1}
RV2=$ROOT/target/review-2/rv2
FERRYD=$ROOT/target/ferryd
TMP=$(mktemp -d "${TMPDIR:-/tmp}/review-2.XXXXXX")
GRACE_S=6
declare -A PIDS=()

now_ms() { awk '{printf "%d\n", $1 * 1000}' /proc/uptime; }
note() { echo "$(now_ms) script $*" >> "$RECORD"; }
start() { # name command...
    local name=$1
    shift
    "$@" >> "$TMP/$name.log" 2>&1 &
    PIDS[$name]=$!
}
end_all() {
    exec 2> /dev/null
    local n
    for n in "${!PIDS[@]}"; do kill -CONT "${PIDS[$n]}" 2> /dev/null; kill -KILL "${PIDS[$n]}" 2> /dev/null; done
    wait 2> /dev/null
    [ -n "${KEEP:-}" ] && echo "logs: $TMP" || rm -rf "$TMP"
}
trap end_all EXIT
cannot_run() { echo "the case couldn't run: $*"; note "cannot run: $*"; exit 2; }
# Whether nothing listens on a port of any loopback address.
is_free() { ! awk -v p="$(printf ':%04X$' "$1")" '$2 ~ p && $4 == "0A" {found = 1} END {exit !found}' /proc/net/tcp; }
free_base() {
    local tries p
    for ((tries = 0; tries < 50; tries++)); do
        BASE=$((20000 + (RANDOM % 60) * 200))
        for p in 0 20 40 41 42 60 61 62 80 90 91 92; do is_free $((BASE + p)) || continue 2; done
        return 0
    done
    cannot_run "no free ports"
}
control_ip() { echo "127.0.1.$((20 + $1))"; }
seeds() { echo "\"$(seen_ip 0):$((BASE + 20))\",\"$(seen_ip 1):$((BASE + 20))\",\"$(seen_ip 2):$((BASE + 20))\""; }
# The address at which others see a control process; a script may put a proxy there.
seen_ip() { control_ip "$1"; }

control_settings() { # index bootstrap
    cat << JSON
{"cluster": "ferrylanding",
 "node": {"name": "$(seen_ip "$1")", "domain": "z$1", "memory_mb": 260},
 "roles": ["control"],
 "control": {"registers": true, "bootstrap": $2, "tolerates": 1, "seeds": [$(seeds)],
  "ip": "$(control_ip "$1")", "port": $BASE, "ops_address": "$(control_ip "$1"):$((BASE + 20))",
  "data": "$TMP/data-$1", "lease_ms": 1200, "election_ms": 200, "heartbeat_ms": 50,
  "probe_ms": 250, "silence_ms": 800, "check_ms": 120, "conn_reserve": 6,
  "limit_window_s": 5, "limit_overrun": 0.1, "limit_slack": 20},
 "platform": {"promotions": "127.0.0.1:$((BASE + 80))"},
 "log": {"json": true}}
JSON
}
entry_settings() { # index
    cat << JSON
{"cluster": "ferrylanding",
 "node": {"name": "127.0.0.$((50 + $1))", "domain": "z0", "link_mbps": 1000, "cores": 0.45, "memory_mb": 260},
 "roles": ["entry"],
 "entry": {"address": "127.0.0.1:$((BASE + 60 + $1))", "sessions": "127.0.0.1:$((BASE + 40 + $1))",
  "grace_s": $GRACE_S, "max_callers": 3000, "max_http": 256},
 "control": {"registers": true, "seeds": [$(seeds)], "port": $BASE, "lease_ms": 1200,
  "election_ms": 200, "heartbeat_ms": 50},
 "log": {"json": true}}
JSON
}
start_control() { # index bootstrap
    control_settings "$1" "$2" > "$TMP/control-$1.json"
    FERRYLANDING_CONFIG=$TMP/control-$1.json start "control-$1" "$FERRYD"
    note "control $1 starts"
}
start_entry() { # index
    entry_settings "$1" > "$TMP/entry-$1.json"
    FERRYLANDING_CONFIG=$TMP/entry-$1.json start "entry-$1" "$FERRYD"
    note "entry $1 starts"
}
start_world() { # work-ms capacity
    start world "$RV2" world "$RECORD" $((BASE + 80)) $((BASE + 90)) "$1" "$2" \
        "$(seen_ip 0):$((BASE + 20))" "$(seen_ip 1):$((BASE + 20))" "$(seen_ip 2):$((BASE + 20))"
}
document() { # version [further routes [further members]]
    local common='"pathPrefix":"/","timeoutMs":2000,"latencySloMs":600,"priority":1,"service":"reg0","maxAttempts":2'
    printf '{"version":%s,"routes":[{"name":"r1","host":"p","kind":"primary",%s},{"name":"r2","host":"b","kind":"bounded","maxStalenessMs":1500,%s}%s],"services":[{"name":"reg0","healthPath":"/healthz","maxConns":25,"protocol":"h1","tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}%s}' \
        "$1" "$common" "$common" "${2:-}" "${3:-}"
}
# One HTTP exchange: the status in STATUS, the body in BODY, Location in LOCATION. A second at most.
http() { # ip port method path [body]
    STATUS=0 BODY='' LOCATION=''
    local out
    out=$(
        exec 2> /dev/null
        exec 7<> "/dev/tcp/$1/$2" || exit
        printf '%s %s HTTP/1.1\r\nHost: %s:%s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' \
            "$3" "$4" "$1" "$2" "${#5}" "$5" >&7
        timeout 1 cat <&7
    )
    STATUS=$(sed -n '1s/^HTTP\/1.1 \([0-9]*\).*/\1/p' <<< "$out")
    STATUS=${STATUS:-0}
    LOCATION=$(tr -d '\r' <<< "$out" | sed -n 's/^[Ll]ocation: *//p' | head -1)
    BODY=$(tr -d '\r' <<< "$out" | sed '1,/^$/d')
}
# As an operator: one control process after the other, 307 followed twice, until 200 or `seconds`.
operator() { # seconds method path [body]
    local until=$(($(now_ms) + $1 * 1000)) i=0 k at
    while [ "$(now_ms)" -lt "$until" ]; do
        http "$(seen_ip $((i % 3)))" $((BASE + 20)) "$2" "$3" "${4:-}"
        for k in 1 2; do
            [ "$STATUS" = 307 ] || break
            at=${LOCATION#http://}
            at=${at%%/*}
            http "${at%:*}" "${at##*:}" "$2" "$3" "${4:-}"
        done
        note "operator $2 $3 at control $((i % 3)): $STATUS"
        [ "$STATUS" = 200 ] && return 0
        i=$((i + 1))
        sleep 0.3
    done
    return 1
}
is_ready() { http 127.0.0.1 $((BASE + 60 + $1)) GET /api/readyz; [ "$STATUS" = 200 ]; }
wait_ready() { # index...
    local i tries
    for i in "$@"; do
        for ((tries = 0; tries < 150; tries++)); do is_ready "$i" && continue 2; sleep 0.1; done
        cannot_run "entry $i is not ready"
    done
}
# A session with one statement; its answer, without carriage returns, within two seconds.
ask() { # index database id text
    (
        exec 2> /dev/null
        exec 8<> "/dev/tcp/127.0.0.1/$((BASE + 40 + $1))" || exit
        printf 'STARTUP %s u1\r\nQUERY %s %s\r\n' "$2" "$3" "$4" >&8
        timeout 2 sed -u '/^READY.*/{x;s/^/x/;/xx/{x;q};x}; /^ERROR NODB/q' <&8 | tr -d '\r'
    )
}
[ -x "$FERRYD" ] && [ -x "$RV2" ] || cannot_run "build first: the build of deploy/system.toml, then review/build-2.sh"
: > "$RECORD"
free_base
