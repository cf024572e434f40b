#!/bin/sh
# Prepares the stand-ins that the cases start. They are Python programs that need only its standard library, so
# nothing is compiled; this checks that the interpreter can read them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
