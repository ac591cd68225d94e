"""The program that forwards packets on the users' prepared machines."""

import sys

from catkinspread.forwarding_node import run_forwarding_node
from catkinspread.platform import find_settings_file
from catkinspread.platform.settings import SettingsFileUnknown
from catkinspread.settings.fields import SettingsError
from catkinspread.settings.forwarding import read_forwarding_settings

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Runs an instance; returns 2 if its settings are not valid."""
    try:
        settings = read_forwarding_settings(find_settings_file())
    except (SettingsFileUnknown, SettingsError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    run_forwarding_node(settings)
    return EXIT_OK
