"""Entry point of `python -m catkinspread.console`."""

import sys

from catkinspread.console import main

sys.exit(main())
