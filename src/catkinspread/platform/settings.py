"""Where the platform puts the settings file.

The platform fills in `settings.ini` of this folder, which turns its own fields into the settings
of `catkinspread.settings.ForwardingSettings`.
"""

import os

SETTINGS_VARIABLE = "CATKINSPREAD_CONFIG"


class SettingsFileUnknown(Exception):
    """The environment does not say where the settings file is."""


def find_settings_file() -> str:
    """Returns the path of the settings file.

    Raises:
        SettingsFileUnknown: If the variable that holds it is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsFileUnknown(f"environment variable {SETTINGS_VARIABLE} is not set")
    return path
