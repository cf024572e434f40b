#!/usr/bin/env bash
# histories_test.sh PROGRAM [with-defects]: every history of the first format is played with the same moves and the
# same verdict as when it was written: the exit code, and how many moves were possible.
set -euo pipefail
program=$1
suffix=${2:-expected}
cd "$(dirname "$0")"
count=0
for history in histories/*.history; do
  code=0
  output=$("$program" explore --history "$history") || code=$?
  moves=$(grep -E '^[0-9]+ of [0-9]+ moves were possible$' <<<"$output")
  diff <(echo "$moves, exit $code") "${history%.history}.$suffix" || { echo "$history"; exit 1; }
  count=$((count + 1))
done
[ "$count" -ge 4 ] || { echo "only $count histories"; exit 1; }
