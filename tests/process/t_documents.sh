#!/usr/bin/env bash
# A configuration as large as 300 VMs bring it: 970 groups and 3,000 routes.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/sessions.sh"
se_setup 32800
for i in 0 1 2; do se_node control $i true; done
se_node entry 0
t_check "a small one is acknowledged" se_put "$(se_document 7)" 200
large() { # version
    awk -v version="$1" 'BEGIN {
        printf "{\"version\":%d,\"routes\":[", version;
        for (r = 0; r < 3000; r++)
            printf "%s{\"name\":\"r-%07d\",\"host\":\"fiti%07d\",\"pathPrefix\":\"/\",\"kind\":\"own\",\"timeoutMs\":1000,\"latencySloMs\":400,\"priority\":2,\"service\":\"reg%d\",\"maxAttempts\":2,\"maxStalenessMs\":2500}", r ? "," : "", r, r, r % 970;
        printf "],\"services\":[";
        for (s = 0; s < 970; s++)
            printf "%s{\"name\":\"reg%d\",\"healthPath\":\"/healthz\",\"maxConns\":43,\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":0}", s ? "," : "", s;
        printf "],\"limits\":{\"txIdleMs\":3000}}";
    }' > "$SE_DIR/large.json"
}
large 8
t_check "one of 3,000 routes is acknowledged" se_put "@$SE_DIR/large.json" 200
t_check "and in force" [ "$(se_version)" = 8 ]
exit $T_BAD
