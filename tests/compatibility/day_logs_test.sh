#!/usr/bin/env bash
# day_logs_test.sh PROGRAM: checks that logs recorded by an earlier version still give the same verdict.
set -euo pipefail
program=$1
cd "$(dirname "$0")"
report=$(mktemp)
trap 'rm -f "$report"' EXIT
for day in day-logs/*.xml; do
  name=${day%.xml}
  code=0
  "$program" day audit "$day" "$name.logs" --report "$report" >/dev/null || code=$?
  echo "$name: exit $code"
  diff <(cat "$report"; echo "exit $code") "$name.expected"
done
