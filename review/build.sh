#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs, so that only their syntax is checked.
set -e
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/*/*.py tests/integration/platform_standin.py tests/integration/processes.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
