#!/bin/sh
# Exits with 1 if FAILBACK was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the store stays up and no target ends.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
