"""Runs the program with `python -m catkinspread.console`."""

import sys

from catkinspread.console import main

sys.exit(main())
