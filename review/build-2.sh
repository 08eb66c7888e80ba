#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they need only the standard library, so this checks that they load.
cd "$(dirname "$0")/.." && exec .venv/bin/python -B -c "import sys; sys.path.insert(0, 'review'); import standins2"
