"""The section `[admission]` of the settings file."""

from collections.abc import Mapping
from typing import Any

from catkinspread.admission.settings import AdmissionMode, AdmissionSettings
from catkinspread.ini import (
    Field,
    SettingsError,
    SettingsProblem,
    parse_choice,
    parse_integer,
    parse_number,
)

SECTION = "admission"
_DEFAULTS = AdmissionSettings()
_OCCUPANCY_MAX = 100.0
_UPDATES_MAX = 100
_RELEASE_AFTER_MAX_MS = 60_000
_MINIMUM_SHARE_MAX = 0.5
# Below it, a wrong estimate of the work would refuse nearly everything.
_TRIM_MIN = 0.01
_TRIM_MAX = 10.0

# Without the section, the defaults hold.
ADMISSION_FIELDS = [
    Field(SECTION, key, parse, default)
    for key, parse, default in (
        ("mode", parse_choice(*(mode.value for mode in AdmissionMode)), _DEFAULTS.mode.value),
        ("limit_occupancy", parse_number(1, _OCCUPANCY_MAX), _DEFAULTS.limit_occupancy),
        ("limit_update_count", parse_integer(1, _UPDATES_MAX), _DEFAULTS.limit_update_count),
        ("release_occupancy", parse_number(0, _OCCUPANCY_MAX), _DEFAULTS.release_occupancy),
        ("release_demand_share", parse_number(0, 1), _DEFAULTS.release_demand_share),
        (
            "release_after_ms",
            parse_integer(0, _RELEASE_AFTER_MAX_MS),
            _DEFAULTS.release_after_ms,
        ),
        ("minimum_share", parse_number(0, _MINIMUM_SHARE_MAX), _DEFAULTS.minimum_share),
        ("trim_lower_occupancy", parse_number(0, _OCCUPANCY_MAX), _DEFAULTS.trim_lower_occupancy),
        ("trim_raise_occupancy", parse_number(0, _OCCUPANCY_MAX), _DEFAULTS.trim_raise_occupancy),
        ("trim_min", parse_number(_TRIM_MIN, 1), _DEFAULTS.trim_min),
        ("trim_max", parse_number(1, _TRIM_MAX), _DEFAULTS.trim_max),
    )
]


def build_admission_settings(file_name: str, values: Mapping[str, Any]) -> AdmissionSettings:
    """Builds the settings from the values of the section.

    Args:
        file_name: Name of the file, for error messages.
        values: Parsed values by key.

    Raises:
        SettingsError: If values do not fit one another.
    """
    try:
        return AdmissionSettings(**{**values, "mode": AdmissionMode(values["mode"])})
    except ValueError as error:
        problem = SettingsProblem(file_name, SECTION, "", "", str(error))
        raise SettingsError((problem,)) from None
