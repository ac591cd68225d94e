"""The subcommand `check-configuration`, which checks a configuration object before it is sent."""

import argparse
import pathlib
import sys

import msgspec

from catkinspread.configuration_check import (
    ConfigurationDraft,
    build_report,
    check_configuration,
    format_report,
)
from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, register_subcommand
from catkinspread.platform.configuration_reader import read_configuration
from catkinspread.platform.field_names import get_field_name


class _InForceRefusedError(Exception):
    """The file with the configuration in force has a content that instances refuse."""


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "file", type=pathlib.Path, help="file with the content of the configuration object, in JSON"
    )
    parser.add_argument(
        "--against",
        type=pathlib.Path,
        metavar="FILE",
        help="file with the content in force; the differences from it are listed",
    )
    parser.add_argument(
        "--format", choices=("text", "json"), default="text", help="output format (default text)"
    )


@register_subcommand(
    "check-configuration", "check a routing configuration before it is sent", _configure
)
def check_configuration_file(arguments: argparse.Namespace) -> int:
    """Prints the findings about a configuration.

    Returns:
        EXIT_FAILURE if there are errors or warnings; EXIT_USAGE if a file cannot be read or the
        configuration in force is one that instances refuse.
    """
    try:
        reading = read_configuration(arguments.file.read_bytes())
        in_force = _read_in_force(arguments.against)
    except (OSError, _InForceRefusedError) as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    findings = check_configuration(reading, in_force)
    report = build_report(str(arguments.file), findings, get_field_name)
    if arguments.format == "json":
        print(msgspec.json.encode(report).decode())
    else:
        print(format_report(report))
    return EXIT_OK if report.is_clean else EXIT_FAILURE


def _read_in_force(path: pathlib.Path | None) -> ConfigurationDraft | None:
    if path is None:
        return None
    reading = read_configuration(path.read_bytes())
    if reading.draft is None:
        fault = reading.faults[0]
        field = get_field_name(fault.field)
        place = f"{fault.part}, {field}" if field else str(fault.part)
        raise _InForceRefusedError(f"{path} cannot be compared: {place}: {fault.reason}")
    return reading.draft
