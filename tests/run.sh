#!/usr/bin/env bash
# All tests. Prints a line a part and, last, the total. The verdict depends on counts and
# outcomes, never on how long something took.
set -u
cd "$(dirname "$0")/.." || exit 2
export CL_BUILD=${CL_BUILD:-build}
passed=0 failed=0
RED=()
[ -f KNOWN-RED.txt ] && mapfile -t RED < <(grep -v '^\s*\(#\|$\)' KNOWN-RED.txt)

known_red() { # test name
    local r
    for r in "${RED[@]}"; do [ "${r%%:*}" = "$1" ] && return 0; done
    return 1
}
count() { # name outcome
    if [ "$2" = 0 ]; then
        passed=$((passed + 1))
    elif known_red "$1"; then
        echo "KNOWN RED: $1"
    else
        failed=$((failed + 1))
        echo "FAILED: $1"
    fi
}
binary() { # name command...: a program whose last line is "...: N passed, M failed"
    local name=$1 out line
    shift
    out=$("$@" 2>&1)
    local rc=$?
    line=$(grep -E '[0-9]+ passed, [0-9]+ failed' <<< "$out" | tail -1)
    if [ -z "$line" ] || { [ $rc != 0 ] && ! grep -qE '[1-9][0-9]* failed' <<< "$line"; }; then
        echo "$out" | tail -30
        echo "$name ended without its count (exit $rc)"
        failed=$((failed + 1))
        return
    fi
    local p f
    p=$(sed -E 's/.* ([0-9]+) passed.*/\1/' <<< " $line")
    f=$(sed -E 's/.* ([0-9]+) failed.*/\1/' <<< "$line")
    [ "$f" != 0 ] && echo "$out" | grep -vE 'Test:.*passed|^$' | tail -40
    while read -r test; do # single tests of the program may be known red
        if known_red "$name/$test"; then
            echo "KNOWN RED: $name/$test"
            f=$((f - 1))
        fi
    done < <(sed -nE 's/^ *Suite .*, Test (.*) had failures:$/\1/p' <<< "$out")
    echo "$name: $p passed, $f failed"
    passed=$((passed + p)) failed=$((failed + f))
}

binary unit "$CL_BUILD/unit-tests"
binary explore "$CL_BUILD/explore" 10000
binary bounds bash bench/bounds.sh
for t in tests/process/t_*.sh; do
    [ -e "$t" ] || continue
    name=$(basename "$t" .sh)
    if out=$(timeout 180 bash "$t" 2>&1); then
        echo "$name: passed"
        count "$name" 0
    else
        echo "$out" | tail -40
        count "$name" 1
    fi
done
echo "$passed passed, $failed failed"
[ $failed = 0 ]
