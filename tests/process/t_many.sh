#!/usr/bin/env bash
# A node that holds many groups: each of its instances is named to the leader and has a share.
. "$(dirname "$0")/lib.sh"
GROUPS_N=170 CROWD=32790
cl_groups_json() {
    awk -v n=$GROUPS_N -v port=$CROWD 'BEGIN {
        printf "[";
        for (g = 0; g < n; g++) {
            printf "%s{\"name\":\"db%04d\",\"copies\":2,\"max_age_ms\":60000,\"instances\":[", g ? "," : "", g;
            for (i = 0; i < 3; i++)
                printf "%s{\"id\":\"db%04d-%d\",\"ip\":\"127.%d.1.%d\",\"port\":%d,\"domain\":\"d%d\",\"max_conns\":25,\"slots\":3}",
                    i ? "," : "", g, i, 20 + i, 1 + g, port, (g + i) % 3;
            printf "]}";
        }
        printf "]";
    }'
}
cl_setup "$T_DIR" 33000 spokeline 1
cl_run crowd "$CL_BUILD/ferry-crowd" --port $CROWD
for i in 0 1 2; do cl_control $i --bootstrap; done
serving() { [ "$("$CL_BUILD/ferryctl" status 2> /dev/null | grep -c ' serving ')" = $GROUPS_N ]; }
t_check "all $GROUPS_N groups serve" t_until serving
cl_entry 0
t_check "the entry node is ready" t_until cl_ready "$(cl_entry_port 0)"
shared() { # instances of which the leader counts a share
    curl -s -m 2 "http://127.0.0.1:$((CL_BASE + 20 + $(cl_leader)))/metrics" | grep -c '^ferry_control_shares{instance="db[0-9-]*"} [1-9]'
}
all_shared() { [ "$(shared)" = $((GROUPS_N * 3)) ]; }
t_check "each of $((GROUPS_N * 3)) instances is shared out" t_until all_shared || shared
exit $T_BAD
