"""Parsing and validation of INI files with typed fields."""

from catkinspread.ini.fields import (
    PORT_MAX,
    Field,
    SettingsError,
    SettingsProblem,
    format_suggestion,
    parse_choice,
    parse_endpoint,
    parse_ini,
    parse_integer,
    parse_ipv4_endpoint,
    parse_name,
    parse_number,
    parse_url,
    read_fields,
    read_ini_file,
)

__all__ = [
    "PORT_MAX",
    "Field",
    "SettingsError",
    "SettingsProblem",
    "format_suggestion",
    "parse_choice",
    "parse_endpoint",
    "parse_ini",
    "parse_integer",
    "parse_ipv4_endpoint",
    "parse_name",
    "parse_number",
    "parse_url",
    "read_fields",
    "read_ini_file",
]
