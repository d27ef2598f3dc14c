#!/bin/sh
# Builds what the scripts of the second review (6 to 10) start beside the
# daemon. Their stand-ins are in Python and only have to be checked.
set -eu
cd "$(dirname "$0")"
for File in 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ -e "$File" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
done
echo "the stand-ins are ready"
