#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, into target/review-2/.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
"${CC:-gcc}" -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -pthread -o target/review-2/rv2 review/standin-2/rv2.c
