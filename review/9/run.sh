#!/bin/sh
# Exits with 1 if FLOW was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: no machine is killed.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
