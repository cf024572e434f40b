#!/usr/bin/env bash
# configuration_test.sh PROGRAM: checks that settings in the first format are accepted, and that an
# error in them is reported with the same text and location as by earlier versions.
set -euo pipefail
program=$1
cd "$(dirname "$0")"
"$program" check-config configuration/manager.xml
if output=$("$program" check-config configuration/manager-with-fault.xml 2>&1); then
  echo "invalid settings were accepted: configuration/manager-with-fault.xml"
  exit 1
fi
diff <(echo "$output") configuration/manager-with-fault.expected
