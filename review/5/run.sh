#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
export PYTHONPATH="$here/../stand:$here/../../tests" PYTHONDONTWRITEBYTECODE=1
python3 -c "import stand" || exit 2
timeout -k 5 120 python3 "$here/case.py"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
