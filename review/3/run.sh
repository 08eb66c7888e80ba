#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
export PYTHONPATH=review
exec .venv/bin/python -B review/3/play.py
