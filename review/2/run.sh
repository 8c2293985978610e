#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does the same
# without the disruption.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
here=$(realpath "$(dirname "$0")")
cd "$here/../.."
number=$(basename "$here")
[ -x "target/review/case-$number" ] && [ -x target/main/pollenhavend ] || exit 2
timeout -k 5 115 "target/review/case-$number" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
