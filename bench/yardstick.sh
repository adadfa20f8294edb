#!/usr/bin/env bash
# Plays days of deployments on the users' bench, each with several seeds, and compares two trees.
#
#   bench/yardstick.sh play BENCH OUT SITE DAYS SEEDS [WHY]   in the tree it stands in; DAYS and SEEDS are lists with commas
#   bench/yardstick.sh show OUT                               mean, spread, worst windows, worst class, prices, a line a day
#   bench/yardstick.sh windows OUT                            the two-second windows that lose most, means over the seeds
#   bench/yardstick.sh compare OUT-A OUT-B                    B less A, paired by day and seed, with its standard error
#
# BENCH is the bench's program, SITE a site file of it. OUT is a folder: one report a play. JOBS (8) days are played at once;
# where the machine is busy with something else, fewer. Needs jq.
set -u

play()
{
    local bench=$1 out=$2 site=$3 days=$4 seeds=$5 why=${6:-yardstick} name
    name=$(basename "$site" .toml)
    mkdir -p "$out"
    "$bench" build >/dev/null || exit 1
    for seed in ${seeds//,/ }; do
        for day in ${days//,/ }; do
            printf '%s %s\n' "$day" "$seed"
        done
    done | xargs -P "${JOBS:-8}" -L 1 bash -c '
        "$0" run "$1" "$5" --seed "$6" --jobs 1 --why "$4" --report "$2/$3.$5.$6.json" >"$2/$3.$5.$6.txt" 2>&1 ||
            echo "failed: $3 $5 $6" >&2' "$bench" "$site" "$out" "$name" "$why"
}

# A line a play: key, worth, served, refused, failed, worst windows, worst class, prices, number of broken rules.
table()
{
    for f in "$1"/*.json; do
        jq -r --arg key "$(basename "$f" .json)" '
            def part(n): [.parts[] | select(.[0] == n) | .[2]] | first // 0;
            [$key, .G, .served, .refused, .failed, part("worst windows"), part("worst class"),
             ([.prices[][2]] | add), (.breaks | length) + (if .fault then 1 else 0 end)] | @tsv' "$f"
    done
}

# Prices of all plays, a line a kind.
prices()
{
    jq -s -r '[.[].prices[]] | group_by(.[0])[] | [([.[][2]] | add / length), .[0][0]] | select(.[0] > 0.0005) | @tsv' \
        "$1"/*.json | sort -rn | awk -F'\t' '{ printf "  price %.4f  %s\n", $1, $2 }'
}

show()
{
    table "$1" | awk -F'\t' '
        { sub(/\.[^.]*$/, "", $1); add($1); add(substr($1, 1, index($1, ".")) "*") }
        function add(k, i) {
            if (!(k in n)) order[++m] = k
            n[k]++; sq[k] += $2 * $2
            for (i = 2; i <= 9; i++) s[k, i] += $i
        }
        END {
            printf "%-34s %5s %7s %7s %7s %7s %7s %8s %7s %7s %6s\n", "day", "plays", "worth", "spread", "served", "refused",
                "failed", "windows", "class", "prices", "broken"
            for (j = 1; j <= m; j++) {
                k = order[j]; mean = s[k, 2] / n[k]; var = sq[k] / n[k] - mean * mean
                printf "%-34s %5d %7.4f %7.4f %7.4f %7.4f %7.4f %8.3f %7.3f %7.4f %6d\n", k, n[k], mean,
                    (var > 0 ? sqrt(var) : 0), s[k, 3] / n[k], s[k, 4] / n[k], s[k, 5] / n[k], s[k, 6] / n[k],
                    s[k, 7] / n[k], s[k, 8] / n[k], s[k, 9]
            }
        }'
    prices "$1"
}

# A line a window that loses a hundredth or more of all that is lost, in order of time.
windows()
{
    for f in "$1"/*.txt; do
        awk -v key="$(basename "$f" .txt)" '
            BEGIN { sub(/\.[^.]*$/, "", key) }
            /^from second/ { on = 1; next }
            on && NF < 9 { on = 0 }
            on { print key, $1, $2, $3, $4, $5, $6, $2 * (1 - $8) }' "$f"
    done | awk '
        {
            k = $1 " " $2; if (!(k in n)) order[++m] = k
            n[k]++; for (i = 3; i <= 8; i++) s[k, i] += $i
            asked += $3; lost += $8
        }
        END {
            printf "lost in all %.4f of what was asked\n%-28s %6s %7s %6s %6s %8s %7s %7s\n", lost / asked, "day", "second",
                "asked", "in time", "late", "refused", "failed", "share"
            for (j = 1; j <= m; j++) {
                k = order[j]; if (s[k, 8] < lost / 100) continue
                split(k, part, " "); sum += s[k, 8]
                printf "%-28s %6d %7.0f %6.2f %6.2f %8.2f %7.2f %7.3f\n", part[1], part[2], s[k, 3] / n[k], s[k, 4] / s[k, 3],
                    s[k, 5] / s[k, 3], s[k, 6] / s[k, 3], s[k, 7] / s[k, 3], s[k, 8] / lost
            }
            printf "these windows: %.2f of what is lost\n", sum / lost
        }'
}

compare()
{
    { table "$1" | sed 's/^/A\t/'; table "$2" | sed 's/^/B\t/'; } | awk -F'\t' '
        $1 == "A" { for (i = 3; i <= 10; i++) a[$2, i] = $i; next }
        ($2, 3) in a {
            site = $2; sub(/\..*/, "", site)
            for (i = 3; i <= 9; i++) { d = $i - a[$2, i]; s[site, i] += d; q[site, i] += d * d }
            n[site]++; broken[site] += $10
        }
        END {
            split("worth served refused failed windows class prices", name, " ")
            for (k in n) {
                printf "%s, %d pairs, %d rules broken in the second:\n", k, n[k], broken[k]
                for (i = 3; i <= 9; i++) {
                    mean = s[k, i] / n[k]; var = q[k, i] / n[k] - mean * mean
                    err = n[k] > 1 && var > 0 ? sqrt(var / (n[k] - 1)) : 0
                    printf "  %-8s %+.4f +- %.4f\n", name[i - 2], mean, err
                }
            }
        }'
}

case ${1:-} in
play) shift; [ $# -ge 5 ] || exit 2; play "$@" ;;
show) shift; [ $# -eq 1 ] || exit 2; show "$@" ;;
windows) shift; [ $# -eq 1 ] || exit 2; windows "$@" ;;
compare) shift; [ $# -eq 2 ] || exit 2; compare "$@" ;;
*) sed -n '2,10p' "$0" >&2; exit 2 ;;
esac
