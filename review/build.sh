#!/bin/sh
# Builds what the scripts start beside the daemon. All stand-ins of the review
# are in Python and only have to be checked; those of the project are not used.
set -eu
cd "$(dirname "$0")"
for File in 1/standins/*.py [1-5]/*.py; do
  [ -e "$File" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
done
echo "the stand-ins are ready"
