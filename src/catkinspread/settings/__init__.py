"""Settings of an instance, read from an INI file and validated together."""

from catkinspread.ini import (
    SettingsError,
    SettingsProblem,
    format_suggestion,
    parse_endpoint,
)
from catkinspread.settings.instance import (
    TOKEN_SECTION_PREFIX,
    InstanceSettings,
    KeySettings,
    PeerSeed,
    load_ini_file,
    load_instance_settings,
    read_instance_settings,
)

__all__ = [
    "TOKEN_SECTION_PREFIX",
    "InstanceSettings",
    "KeySettings",
    "PeerSeed",
    "SettingsError",
    "SettingsProblem",
    "format_suggestion",
    "load_ini_file",
    "load_instance_settings",
    "parse_endpoint",
    "read_instance_settings",
]
