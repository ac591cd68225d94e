"""Starts a forwarding instance with the settings file that the platform names."""

import sys

import anyio

from catkinspread.clock import SystemClock
from catkinspread.ini import SettingsError
from catkinspread.platform import SettingsFileUnknown, find_settings_file
from catkinspread.runtime.instance import ForwardingInstance
from catkinspread.runtime.settings import read_forwarding_settings

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Runs an instance until it is told to stop.

    Returns:
        0 after a graceful stop, 2 if the settings are not valid.
    """
    try:
        settings = read_forwarding_settings(find_settings_file())
    except (SettingsFileUnknown, SettingsError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    anyio.run(ForwardingInstance(settings, SystemClock()).run)
    return EXIT_OK
