#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: they need the standard library only, so they are just compiled.
# Exit codes: 0 built; 1 a source can't be compiled, or Python is older than 3.11.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for source in common/*.py [0-9]*/*.py; do
    [ ! -e "$source" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
