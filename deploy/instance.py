"""Starts a forwarding instance with the settings file that the platform names.

Runs from a checkout, or beside the package where the build has put both.
"""

import pathlib
import signal
import sys

# Without a handler the signal would end the process while the program is still loaded. The
# settings are read after this line, and once more when the program listens for the signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"
if _SOURCE.is_dir():
    sys.path.insert(0, str(_SOURCE))

from catkinspread.runtime.main import main  # noqa: E402

sys.exit(main())
