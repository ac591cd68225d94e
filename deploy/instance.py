"""Starts a forwarding instance from a checkout, with the settings file of the platform."""

import pathlib
import signal
import sys

# Without a handler the signal would end the process while the program is still loaded. The
# settings are read after this line, and once more when the program listens for the signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from catkinspread.runtime import main  # noqa: E402

sys.exit(main())
