"""Settings of an instance, read from an INI file and validated as a whole."""

from catkinspread.settings.fields import (
    SettingsError,
    SettingsProblem,
    parse_endpoint,
    parse_text,
    suggest,
)
from catkinspread.settings.instance import (
    InstanceSettings,
    KeySettings,
    PeerSeed,
    load_instance_settings,
)

__all__ = [
    "InstanceSettings",
    "KeySettings",
    "PeerSeed",
    "SettingsError",
    "SettingsProblem",
    "load_instance_settings",
    "parse_endpoint",
    "parse_text",
    "suggest",
]
