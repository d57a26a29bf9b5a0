#!/usr/bin/env bash
here="$(cd "$(dirname "$0")" && pwd)"
export PYTHONPATH="$here/../stand:$here/../../tests" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 120 python3 "$here/case.py"
