"""Parsing and validation of INI files with typed fields."""

import configparser
import difflib
import ipaddress
import pathlib
import re
from collections.abc import Callable
from typing import Any

import msgspec

from catkinspread.ini.limited_file import UnreadableFile, read_limited_file
from catkinspread.model import Endpoint

PORT_MAX = 65_535
# Longest part of a value in an error message, which is one line of the log.
_VALUE_MAX_CHARS = 100
# A number with more digits exceeds every limit, and `int` rejects one of several thousand.
_DIGITS_MAX = 20
_DECIMAL = re.compile(r"-?[0-9]+(\.[0-9]+)?")


class SettingsProblem(msgspec.Struct, frozen=True):
    """One problem in a settings file.

    Attributes:
        file: Name of the file.
        section: Section with the problem; empty if it concerns the whole file.
        key: Key with the problem; empty if it concerns the whole section or file.
        value: The value as written in the file; empty if there is none.
        message: Description of the problem, without its location.
    """

    file: str
    section: str
    key: str
    value: str
    message: str

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}]" if self.section else self.file
        if self.key:
            location = f"{location} {self.key}"
        if self.value:
            location = f"{location} = {_shorten(self.value)}"
        return f"{location}: {self.message}"


def _shorten(value: str) -> str:
    """Returns the start of a value, without line breaks and other control characters."""
    printable = "".join(char if char.isprintable() else " " for char in value[:_VALUE_MAX_CHARS])
    return printable if len(value) <= _VALUE_MAX_CHARS else f"{printable}..."


class SettingsError(Exception):
    """A settings file is unreadable or invalid.

    Attributes:
        problems: All problems that were found, at least one.
    """

    def __init__(self, problems: tuple[SettingsProblem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class Field(msgspec.Struct, frozen=True):
    """Definition of one key of a section.

    Attributes:
        section: Name of the section.
        key: Name of the key, with the unit as suffix if it has one.
        parse: Converts the text to a value; raises ValueError with a description of the problem.
        default: Value if the key is absent. A field whose default is None is required: its absence is
            reported as a problem, so that None is never a value.
    """

    section: str
    key: str
    parse: Callable[[str], Any]
    default: Any = None


def parse_name(text: str) -> str:
    """Returns the text if it is a non-empty name of letters, digits, dots and hyphens.

    Letters and digits of all scripts of Unicode are allowed.

    Raises:
        ValueError: If the text is empty or contains another character.
    """
    if not text or not all(char.isalnum() or char in ".-" for char in text):
        raise ValueError(
            f"expected a name of letters, digits, dots and hyphens, found {_shorten(text)!r}"
        )
    return text


def parse_endpoint(text: str) -> Endpoint:
    """Parses an endpoint of the form `IP:PORT`; host names are rejected.

    Raises:
        ValueError: If the host is not an IPv4 or IPv6 address or the port is not from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"expected IP:PORT with an IP address, found {_shorten(text)!r}") from None
    if not _is_decimal(port) or not 1 <= int(port) <= PORT_MAX:
        raise ValueError(f"expected a port from 1 to {PORT_MAX}, found {_shorten(port)!r}")
    return Endpoint(host=host, port=int(port))


def parse_ipv4_endpoint(text: str) -> Endpoint:
    """Parses an endpoint of the form `IP:PORT` with an IPv4 address of one machine.

    Raises:
        ValueError: If the host is not an IPv4 address, or is the address of all interfaces or of a
            multicast group, or the port is not from 1 to 65535.
    """
    endpoint = parse_endpoint(text)
    address = ipaddress.ip_address(endpoint.host)
    if address.version != 4:
        raise ValueError(f"expected an IPv4 address, found {_shorten(endpoint.host)!r}")
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"expected the address of one machine, found {endpoint.host!r}")
    return endpoint


def _is_decimal(text: str) -> bool:
    """Returns whether the text is a short number of ASCII digits.

    `str.isdigit` alone accepts digits such as superscripts, which `int` rejects, and digits of other
    scripts.
    """
    return text.isascii() and text.isdigit() and len(text) <= _DIGITS_MAX


def parse_integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Returns a parser for integers from `minimum` to `maximum`, both inclusive.

    The parser raises ValueError if the text is not such an integer.
    """

    def parse(text: str) -> int:
        if not _is_decimal(text.removeprefix("-")) or not minimum <= int(text) <= maximum:
            raise ValueError(
                f"expected an integer from {minimum} to {maximum}, found {_shorten(text)!r}"
            )
        return int(text)

    return parse


def parse_number(minimum: float, maximum: float) -> Callable[[str], float]:
    """Returns a parser for decimal numbers from `minimum` to `maximum`, both inclusive.

    The parser raises ValueError if the text is not such a number. Exponents, infinity and NaN are
    not numbers of a settings file.
    """

    def parse(text: str) -> float:
        is_decimal = len(text) <= _DIGITS_MAX and _DECIMAL.fullmatch(text) is not None
        if not is_decimal or not minimum <= float(text) <= maximum:
            raise ValueError(
                f"expected a number from {minimum:g} to {maximum:g}, found {_shorten(text)!r}"
            )
        return float(text)

    return parse


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Returns a parser for one of several words.

    The parser raises ValueError if the text is none of them.
    """

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"expected {', '.join(choices)}, found {_shorten(text)!r}")
        return text

    return parse


def parse_url(text: str) -> str:
    """Parses a URL of the form `http://IP:PORT` and removes trailing slashes.

    Raises:
        ValueError: If the scheme is not `http`, or the rest is not an endpoint.
    """
    if not text.startswith("http://"):
        raise ValueError(f"expected http://IP:PORT, found {_shorten(text)!r}")
    parse_endpoint(text.removeprefix("http://").rstrip("/"))
    return text.rstrip("/")


def read_ini_file(path: str | pathlib.Path) -> configparser.ConfigParser:
    """Reads and parses an INI file without validating its sections and keys.

    Raises:
        SettingsError: If the file cannot be read or its syntax is invalid.
    """
    # A name that is no valid text, which the system allows, could not be logged.
    file = str(path).encode("utf-8", "backslashreplace").decode()
    try:
        text = read_limited_file(path).decode("utf-8-sig")
    except (OSError, UnicodeDecodeError, UnreadableFile) as error:
        problem = SettingsProblem(file, "", "", "", f"cannot be read: {error}")
        raise SettingsError((problem,)) from error
    return parse_ini(file, text)


def parse_ini(file: str, text: str) -> configparser.ConfigParser:
    """Parses the content of an INI file without validating its sections and keys.

    Args:
        file: Name of the file, for error messages.
        text: Content of the file.

    Raises:
        SettingsError: If the syntax is invalid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        message = _describe_syntax_error(error)
        # The cause is left out, because it quotes lines of the file, which may hold secrets.
        raise SettingsError((SettingsProblem(file, "", "", "", message),)) from None
    return parser


def _describe_syntax_error(error: configparser.Error) -> str:
    if isinstance(error, configparser.MissingSectionHeaderError):
        return f"line {error.lineno} comes before the first section"
    if isinstance(error, configparser.ParsingError):
        numbers = ", ".join(str(number) for number, _ in error.errors)
        return f"Source contains parsing errors in line {numbers}"
    return " ".join(str(error).split())


def read_fields(
    file: str,
    parser: configparser.ConfigParser,
    fields: list[Field],
    ignored_prefix: str = "",
) -> dict[str, dict[str, Any]]:
    """Validates a parsed INI file and converts its values.

    Args:
        file: Name of the file, for error messages.
        parser: Parsed content of the file.
        fields: Definitions of all allowed keys.
        ignored_prefix: Sections whose names start with this prefix are not validated; empty to
            validate all.

    Returns:
        The values by section and key, including defaults.

    Raises:
        SettingsError: With all problems found: unknown sections and keys, missing keys and invalid
            values.
    """
    problems = _find_unknown_entries(file, parser, fields, ignored_prefix)
    values: dict[str, dict[str, Any]] = {}
    for field in fields:
        section = values.setdefault(field.section, {})
        raw = parser.get(field.section, field.key, fallback=None)
        if raw is None and field.default is None:
            problems.append(
                SettingsProblem(file, field.section, field.key, "", "missing required key")
            )
            continue
        try:
            section[field.key] = field.default if raw is None else field.parse(raw.strip())
        except ValueError as error:
            problems.append(SettingsProblem(file, field.section, field.key, raw, str(error)))
    if problems:
        raise SettingsError(tuple(problems))
    return values


def _find_unknown_entries(
    file: str, parser: configparser.ConfigParser, fields: list[Field], ignored_prefix: str
) -> list[SettingsProblem]:
    sections = sorted({field.section for field in fields})
    problems: list[SettingsProblem] = []
    for section in parser.sections():
        if ignored_prefix and section.startswith(ignored_prefix):
            continue
        if section not in sections:
            message = f"unknown section{format_suggestion(section, sections)}"
            problems.append(SettingsProblem(file, section, "", "", message))
            continue
        keys = sorted(field.key for field in fields if field.section == section)
        for key in parser.options(section):
            if key not in keys:
                # Without its value, because the key may be a misspelled one of a secret.
                message = f"unknown key{format_suggestion(key, keys)}"
                problems.append(SettingsProblem(file, section, key, "", message))
    return problems


def format_suggestion(name: str, known: list[str]) -> str:
    """Returns a suffix for an error message that suggests the most similar known name.

    The suffix is empty if no known name is similar.
    """
    matches = difflib.get_close_matches(name, known, n=1)
    return f", did you mean {matches[0]!r}?" if matches else ""
