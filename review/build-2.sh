#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python programs, the project's own too, so that it suffices to check that all of them can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py tests/integration/platform_standin.py tests/integration/processes.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
