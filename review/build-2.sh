#!/bin/sh
# The stand-ins of the cases 6 to 10 are scripts (lib-2/rig.py and each case's play.py): there is nothing to build.
# Checks that the interpreter can run them and that the deploy file's build has left the program.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib-2 python3 -c 'import rig'
test -x build/src/paddlestand
