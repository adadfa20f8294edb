# Starts a small deployment on loopback addresses: three machines, each with the roles entry and
# control of deploy/system.toml. Sourced by the cases' run.sh after CASE is set to
# their folder and RECORD to the record.txt there.
# Each machine has an address of its own in 127.0.0.0/8, drawn until its ports are free.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
STANDIN=$ROOT/review/target/standin
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
PIDS=()
FRONT=8784 READY=8785 CONTROL=8782 PEERS=7440 DB_PORT=9100 PIPE_PORT=9120
# With PROXY=1, the machines reach each other's node port through "standin pipe". As a node dials
# others at its own port number, each machine gets a number of its own: machine K listens at
# PEERS + K, and the proxy at the numbers of the others on K's address.
PROXY=${PROXY:-0}

cannot_run() { echo "the case could not run: $*"; exit 2; }
end_all() {
    local p
    for p in "${PIDS[@]}"; do kill -CONT "$p" 2> /dev/null; kill -KILL "$p" 2> /dev/null; done
    wait 2> /dev/null
    if [ -n "${KEEP:-}" ]; then echo "logs: $WORK"; else rm -rf "$WORK"; fi
}
trap end_all EXIT
start() { # name command...: in the background, its number in PID_name
    local name=$1
    shift
    "$@" >> "$WORK/$name.log" 2>&1 &
    PIDS+=($!)
    declare -g "PID_$name=$!"
}
say() { echo "$(date +%s%3N) script: $*" >> "$RECORD"; }

in_use() { ss -Htln 2> /dev/null | grep -q " $1:"; }
[ -x "$STANDIN" ] || cannot_run "review/build.sh was not run"
[ -x "$ROOT/target/ferryd" ] || cannot_run "the build of deploy/system.toml was not run"
for ((tries = 0; tries < 50; tries++)); do
    NET=127.$((64 + RANDOM % 128)).$((RANDOM % 256))
    in_use "${NET//./\\.}\\.[0-9]*" || break
done
ip_of() { echo "$NET.$((10 + $1))"; }
DB_IP=$NET.200
: > "$RECORD"

peer_port() { echo $((PEERS + PROXY * $1)); }
start_proxy() {
    local j k routes=()
    for j in 0 1 2; do
        for k in 0 1 2; do
            [ $j = $k ] || routes+=("$(ip_of $k):$(peer_port $j)=$(ip_of $k):$(peer_port $k)")
        done
    done
    start pipe "$STANDIN" pipe "$RECORD" "$DB_IP:$PIPE_PORT" "${routes[@]}"
}
pipe() { # command
    exec 9<> "/dev/tcp/$DB_IP/$PIPE_PORT" || return 1
    printf '%s\r\n' "$1" >&9
    timeout 2 cat <&9
    exec 9>&-
}

SEEDS="\"$(ip_of 0):$CONTROL\",\"$(ip_of 1):$CONTROL\",\"$(ip_of 2):$CONTROL\""
# The settings that the platform makes of deploy/entry.json and deploy/control.json.
entry_settings() { # machine
    cat << JSON
{"cluster":"ferrylanding","node":{"name":"$(ip_of "$1")","domain":"z$1","link_mbps":1000.0,"cores":0.45},
 "roles":["entry"],
 "entry":{"address":"$(ip_of "$1"):$READY","sessions":"$(ip_of "$1"):$FRONT","grace_s":6,"max_callers":3000},
 "control":{"registers":true,"seeds":[$SEEDS],"port":$(peer_port "$1"),"lease_ms":1200,"election_ms":200,"heartbeat_ms":50},
 "log":{"json":true}}
JSON
}
control_settings() { # machine bootstrap
    cat << JSON
{"cluster":"ferrylanding","node":{"name":"$(ip_of "$1")","domain":"z$1"},"roles":["control"],
 "control":{"registers":true,"bootstrap":$2,"tolerates":1,"seeds":[$SEEDS],"ip":"$(ip_of "$1")","port":$(peer_port "$1"),
 "ops_address":"$(ip_of "$1"):$CONTROL","data":"$WORK/data-$1","lease_ms":1200,"election_ms":200,
 "heartbeat_ms":50,"probe_ms":250,"silence_ms":800,"check_ms":120,"conn_reserve":6},
 "platform":{"promotions":"$DB_IP:$((DB_PORT + 10))"},"log":{"json":true}}
JSON
}
start_control() { # machine bootstrap
    control_settings "$1" "$2" > "$WORK/control-$1.json"
    start "control_$1" env FERRYLANDING_CONFIG="$WORK/control-$1.json" "$ROOT/target/ferryd"
}
start_machine() { # machine
    entry_settings "$1" > "$WORK/entry-$1.json"
    start_control "$1" true
    start "entry_$1" env FERRYLANDING_CONFIG="$WORK/entry-$1.json" "$ROOT/target/ferryd"
}
start_databases() { # syncReplicas [service port]
    start "db_${2:-reg0}" "$STANDIN" db "$DB_IP" "${3:-$DB_PORT}" "${2:-reg0}" "$1" "$RECORD" "$(ip_of 0):$CONTROL" \
        "$(ip_of 1):$CONTROL" "$(ip_of 2):$CONTROL"
}
db() { # command...
    exec 9<> "/dev/tcp/$DB_IP/$((DB_PORT + 11))" || return 1
    printf '%s\r\n' "$*" >&9
    timeout 2 cat <&9
    exec 9>&-
}
http() { # ip port method path [body]: the status in STATUS, Location in LOCATION, the body in BODY
    local line body=${5:-} length=0
    STATUS=0 LOCATION='' BODY=''

    exec 8<> "/dev/tcp/$1/$2" 2> /dev/null || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s:%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$3" "$4" "$1" "$2" "${#body}" "$body" >&8
    while IFS= read -r -t 1 line <&8; do
        line=${line%$'\r'}
        [ -z "$line" ] && break
        case $line in
        HTTP/*) STATUS=${line#* } STATUS=${STATUS%% *} ;;
        [Ll]ocation:*) LOCATION=${line#*: } ;;
        [Cc]ontent-[Ll]ength:*) length=${line#*:} length=${length// /} ;;
        esac
    done
    [ "$length" -gt 0 ] && BODY=$(timeout 1 head -c "$length" <&8)
    exec 8>&-
}
# An order of the operator: to one control node after the other, sent on by 307.
order() { # path body
    local tries i to
    for ((tries = 0; tries < 100; tries++)); do
        for i in 0 1 2; do
            http "$(ip_of $i)" $CONTROL POST "$1" "$2"
            if [ "$STATUS" = 307 ]; then
                to=${LOCATION#http://} to=${to%%/*}
                http "${to%:*}" "${to#*:}" POST "$1" "$2"
            fi
            [ "$STATUS" = 200 ] && { say "order acknowledged: $2"; return 0; }
        done
        sleep 0.1
    done
    return 1
}
# The operator reads the configuration back: from one control node after the other, for so
# many seconds. What came is in BODY; false if nothing did.
read_back() { # seconds
    local until=$(($(date +%s) + $1)) i to
    while [ "$(date +%s)" -lt $until ]; do
        for i in 0 1 2; do
            http "$(ip_of $i)" $CONTROL GET /api/config/fetch
            if [ "$STATUS" = 307 ]; then
                to=${LOCATION#http://} to=${to%%/*}
                http "${to%:*}" "${to#*:}" GET /api/config/fetch
            fi
            [ "$STATUS" = 200 ] && { say "read back: $BODY"; return 0; }
            say "read from $(ip_of $i): $STATUS"
        done
        sleep 0.3
    done
    return 1
}
is_ready() { http "$(ip_of "$1")" $READY GET /api/readyz && [ "$STATUS" = 200 ]; }
wait_ready() {
    local tries i
    for i in 0 1 2; do
        for ((tries = 0; tries < 150; tries++)); do is_ready $i && continue 2; sleep 0.1; done
        cannot_run "entry $i is not ready"
    done
}
fronts() { echo "$(ip_of 0):$FRONT" "$(ip_of 1):$FRONT" "$(ip_of 2):$FRONT"; }
config() { # version syncReplicas
    local r='"timeoutMs":800,"latencySloMs":250,"priority":1,"service":"reg0","maxAttempts":2'
    printf '{"version":%d,"routes":[{"name":"r1","host":"booking","pathPrefix":"/","kind":"primary",%s},' "$1" "$r"
    printf '{"name":"r2","host":"status","pathPrefix":"/","kind":"own","maxStalenessMs":2500,%s}],' "$r"
    printf '"services":[{"name":"reg0","healthPath":"/healthz","maxConns":43,"protocol":"h1","tls":false,"syncReplicas":%d}],' "$2"
    printf '"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}'
}
