#!/usr/bin/env bash
# Each mechanism once on and once switched off, under the failure it exists for. On: no broken promise.
# Off: the checker must find one; else the test that relies on it proves nothing. Not part of CI: that a
# race is lost in a given run is likely, not certain. Run by `make switched-off`, or with one name.
. "$(dirname "$0")/lib.sh"
base=10000
ONLY=${1:-}

faults() { awk '/"faults"/ {on = 1} on && /:/ && !/faults/ {gsub(/[",: ]+/, " "); if ($2 > 0) printf "%s %s  ", $1, $2} /}/ {if (on) exit}' "$CL_DIR/report.json"; }

cut_off_primary() { # visible to e0 only, which is cut off from control
    cl_cut e0
    cl_fault 0 "$p" '{"cut":"control,entry:e1,entry:e2,replica"}'
    sleep 4
    cl_fault 0 "$p" '{"cut":""}'
    cl_cut ""
}
kill_primary() { cl_kill "i0$p"; }
lagging_replica() { # the one that a careless choice would take
    cl_fault 0 $(((p == 0) ? 1 : 0)) '{"ship_us":400000}'
    sleep 1
    cl_kill "i0$p"
}
nothing() { :; }
lose_answers() { # statements run and their connections close in place of the answer
    cl_fault 0 "$p" '{"mangle":"lose"}'
    sleep 2
    cl_fault 0 "$p" '{"mangle":""}'
}
cross_answers() {
    cl_fault 0 "$p" '{"mangle":"crossed"}'
    sleep 2
    cl_fault 0 "$p" '{"mangle":""}'
}
stop_node() { cl_kill e1 TERM; }

one() { # name entry_json control_json instance_args hit load_args expected(on|off)
    [ -n "$ONLY" ] && [ "$ONLY" != "$1" ] && return
    base=$((base + 200))
    CL_RELAY=1 CL_ENTRY_JSON="" CL_CONTROL_JSON=$3 CL_INSTANCE_ARGS=$4
    cl_setup "$T_DIR/$base" $base spokeline 3
    if [ -n "$2" ]; then
        for f in "$CL_DIR"/*.json; do sed -i "s/^{\"cluster\"/{\"switched_off\": {$2}, \"cluster\"/" "$f"; done
    fi
    cl_start || { t_fail "start"; return; }
    sleep 1
    p=$(cl_primary 0)
    t_load --seconds 7 --seed 7 $6
    sleep 2
    $5
    cl_load_wait
    local n
    n=$(t_report fault_count)
    [ "$1" = finish ] && n=$(t_report unanswered) # requests cut off
    if [ "$7" = off ]; then t_check "$1 off: found $n: $(faults)" [ "$n" -gt 0 ]; else t_check "$1 on: none found" [ "$n" = 0 ]; fi
    cl_end
}

t_say "copies: a write is acknowledged only when two instances hold it; the primary is killed"
one copies "" "" "--ship-us 300000" kill_primary "--rate 800 --reads 0.2 --txns 0" on
one copies '"copies": true' "" "--ship-us 300000" kill_primary "--rate 800 --reads 0.2 --txns 0" off
t_say "tokens: a session read names the position it needs; replicas apply 300 ms late"
one tokens "" "" "--apply-us 300000" nothing "--keys 20" on
one tokens '"tokens": true' "" "--apply-us 300000" nothing "--keys 20" off
t_say "claims: writes run and their answers are lost"
one once "" "" "" lose_answers "--reads 0.1 --txns 0" on
one once '"once": true' "" "" lose_answers "--reads 0.1 --txns 0" off
t_say "numbers of replies: one comes over the wrong connection"
one own_id "" "" "" cross_answers "--reads 0.6 --txns 0" on
one own_id '"own_id": true' "" "" cross_answers "--reads 0.6 --txns 0" off
t_say "pinned transactions: many callers on few connections"
one pinning "" "" "" nothing "--reads 0.1 --txns 0.5 --sessions 200 --rate 600" on
one pinning '"pinning": true' "" "" nothing "--reads 0.1 --txns 0.5 --sessions 200 --rate 600" off
t_say "not_run: writes run and their connections are lost"
one not_run "" "" "" lose_answers "--reads 0.1 --txns 0" on
one not_run '"not_run": true' "" "" lose_answers "--reads 0.1 --txns 0" off
t_say "a planned stop finishes what it has"
one finish "" "" "--service-us 20000" stop_node "--reads 0.5 --txns 0.3" on
one finish '"finish": true' "" "--service-us 20000" stop_node "--reads 0.5 --txns 0.3" off
t_say "the best instance is promoted: one replica lags 400 ms; the primary is killed"
one best "" "" "" lagging_replica "--reads 0.2 --txns 0" on
one best '"best": true' "" "" lagging_replica "--reads 0.2 --txns 0" off
t_say "leases and terms, instances without fences: an entry node cut off together with the old primary"
one terms "" '"fence": false, ' "--no-fence" cut_off_primary "--reads 0.7 --aged 0 --txns 0 --keys 10 --deadline-ms 1000 --no-tokens" on
one terms '"terms": true, "copies": true' '"fence": false, ' "--no-fence" cut_off_primary "--reads 0.7 --aged 0 --txns 0 --keys 10 --deadline-ms 1000 --no-tokens" off
exit $T_BAD
