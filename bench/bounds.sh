#!/usr/bin/env bash
# Deterministic bounds: instructions a decision costs, against bench/bounds.txt. Counts, not
# time. --write makes the file anew (bounds 15 % above the count); --self-test shows that a
# decision that costs twice as much fails.
set -u
cd "$(dirname "$0")/.." || exit 2
BIN=${CL_BUILD:-build}/ferry-bench
N=400

total() { # decision count
    valgrind --tool=callgrind --callgrind-out-file=/dev/null "$BIN" decision "$1" "$2" 2>&1 |
        sed -n 's/.*Collected : \([0-9]*\).*/\1/p'
}
cost() { # decision: instructions of one
    local a b
    a=$(total "$1" $N)
    b=$(total "$1" $((2 * N)))
    echo $(((b - a) / N))
}
mapfile -t NAMES < <("$BIN" decisions)
declare -A COST=()
tmp=$(mktemp -d)
for name in "${NAMES[@]}"; do (cost "$name" > "$tmp/$name") & done
wait
for name in "${NAMES[@]}"; do COST[$name]=$(cat "$tmp/$name"); done
rm -rf "$tmp"

if [ "${1:-}" = --write ]; then
    {
        echo "# Instructions of one decision, counted by callgrind; a run above its bound fails."
        echo "# name bound"
        for name in "${NAMES[@]}"; do echo "$name $((COST[$name] * 115 / 100 + 5))"; done
    } > bench/bounds.txt
    exit 0
fi

passed=0 failed=0
judge() { # name count bound
    if [ "$2" -le "$3" ]; then
        passed=$((passed + 1))
        printf '%-16s %8d of at most %d instructions\n' "$1" "$2" "$3"
    else
        failed=$((failed + 1))
        printf 'FAILED: %-16s %8d instructions, at most %d\n' "$1" "$2" "$3"
    fi
}
while read -r name bound; do
    [[ $name == \#* || -z $name ]] && continue
    judge "$name" "${COST[$name]:-999999999}" "$bound"
done < bench/bounds.txt
# The check itself can fail: a decision that costs twice as much is over its bound.
first=${NAMES[0]}
bound=$(awk -v n="$first" '$1 == n {print $2}' bench/bounds.txt)
if [ $((COST[$first] * 2)) -gt "${bound:-0}" ]; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "FAILED: a doubled cost would pass"; fi
echo "bounds: $passed passed, $failed failed"
[ $failed = 0 ]
