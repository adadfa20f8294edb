#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start, into review/target/.
cd "$(dirname "$0")" || exit 1
mkdir -p target && gcc -O1 -g -Wall -Wextra -Werror -pthread -o target/standin standin/standin.c
