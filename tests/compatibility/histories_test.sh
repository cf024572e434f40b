#!/usr/bin/env bash
# histories_test.sh PROGRAM [with-defects]: replays every history in the first format and checks that the number of
# possible moves and the exit code are the same as when the history was recorded.
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
[ "$count" -ge 4 ] || { echo "found $count histories, expected at least 4"; exit 1; }
