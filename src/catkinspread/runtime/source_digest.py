"""Tells which source a running program was built from.

The build writes a digest of the source beside the package. A log line with it shows whether a folder
that was built earlier, or on another machine, is still in use.
"""

import pathlib

# Name of the file that `deploy/build.py` writes.
DIGEST_NAME = "source-digest"
# The program runs from a checkout, or was built by a version that wrote no digest.
UNBUILT = "unbuilt"
_FOLDER = pathlib.Path(__file__).resolve().parents[2]


def read_source_digest(folder: pathlib.Path = _FOLDER) -> str:
    """Returns the digest of the source that this program was built from; UNBUILT if there is none.

    Args:
        folder: Folder that holds the package.
    """
    try:
        return (folder / DIGEST_NAME).read_text(encoding="utf-8").strip() or UNBUILT
    except (OSError, UnicodeDecodeError):
        return UNBUILT  # The log line shows it.
