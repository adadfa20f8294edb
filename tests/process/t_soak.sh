#!/usr/bin/env bash
# A short seeded soak for CI, and every seed that ever failed (tests/soak/soak.sh).
cd "$(dirname "$0")/../.." || exit 2
bad=0
soak() {
    echo "-- seed $1"
    bash tests/soak/soak.sh "$1" "$2" || bad=1
}
soak 1 6
soak 5 6
while read -r seed seconds _; do
    case $seed in '' | \#*) continue ;; esac
    soak "$seed" "${seconds%:}"
done < tests/soak/seeds.txt
exit $bad
