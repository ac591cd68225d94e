"""Starts a forwarding instance with the settings file that the platform names."""

import sys

import anyio

from catkinspread.clock import SystemClock
from catkinspread.eventlog import LineWriter
from catkinspread.ini import SettingsError
from catkinspread.platform import SettingsFileUnknown, find_settings_file
from catkinspread.runtime.instance import ForwardingInstance
from catkinspread.runtime.settings import ForwardingSettings, read_forwarding_settings

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Runs an instance until it is told to stop.

    Returns:
        0 after a graceful stop, 2 if the settings are not valid.
    """

    def read_settings() -> ForwardingSettings:
        return read_forwarding_settings(find_settings_file())

    try:
        settings = read_settings()
    except (SettingsFileUnknown, SettingsError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    anyio.run(ForwardingInstance(settings, read_settings, SystemClock(), LineWriter()).run)
    return EXIT_OK
