#!/usr/bin/env bash
# configuration_test.sh PROGRAM: settings of the first format are accepted, and a fault in them is placed as before.
set -euo pipefail
program=$1
cd "$(dirname "$0")"
"$program" check-config configuration/manager.xml
if output=$("$program" check-config configuration/manager-with-fault.xml 2>&1); then
  echo "accepted: configuration/manager-with-fault.xml"
  exit 1
fi
diff <(echo "$output") configuration/manager-with-fault.expected
