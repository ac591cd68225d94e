"""The section `[admission]` of the settings file."""

from collections.abc import Mapping
from typing import Any

from catkinspread.admission.settings import MARGIN_RANGES, AdmissionMode, AdmissionSettings
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
_WHOLE_NUMBERS = ("limit_update_count", "release_after_ms")


def _build_margin_field(key: str, range_min: float, range_max: float) -> Field:
    if key in _WHOLE_NUMBERS:
        parse = parse_integer(int(range_min), int(range_max))
    else:
        parse = parse_number(range_min, range_max)
    return Field(SECTION, key, parse, getattr(_DEFAULTS, key))


# Without the section, the defaults hold.
ADMISSION_FIELDS = [
    Field(
        SECTION,
        "mode",
        parse_choice(*(mode.value for mode in AdmissionMode)),
        _DEFAULTS.mode.value,
    ),
    *(_build_margin_field(key, *bounds) for key, bounds in MARGIN_RANGES.items()),
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
