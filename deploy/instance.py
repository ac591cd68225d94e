"""Starts a forwarding instance from a checkout, with the settings file of the platform."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from catkinspread.runtime import main  # noqa: E402

sys.exit(main())
