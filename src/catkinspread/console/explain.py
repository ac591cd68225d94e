"""The subcommand `explain`, which finds the causes of failed requests in logs."""

import argparse
import itertools
import pathlib
import sys

import msgspec

from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, register_subcommand
from catkinspread.explain import (
    CallerUnknownError,
    LogIndex,
    build_report,
    format_caller_story,
    format_report,
    format_request_story,
    read_log_lines,
)
from catkinspread.explain.request_story import RequestUnknownError


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("logs", nargs="+", type=pathlib.Path, help="files with log lines")
    parser.add_argument("--request", help="show all lines of one request and its cause")
    parser.add_argument(
        "--caller",
        help="show refused flows and dropped packets of an address, with or without port, and why",
    )
    parser.add_argument("--json", action="store_true", help="print the report as JSON")


@register_subcommand("explain", "list requests without an answer by cause, from logs", _configure)
def explain_logs(arguments: argparse.Namespace) -> int:
    """Prints the report, or what concerns one request or caller; EXIT_FAILURE if it cannot."""
    try:
        lines = [path.read_text(errors="replace").splitlines() for path in arguments.logs]
        index = LogIndex(read_log_lines(itertools.chain.from_iterable(lines)))
        if arguments.request:
            print(format_request_story(index, arguments.request))
            return EXIT_OK
        if arguments.caller:
            print(format_caller_story(index, arguments.caller))
            return EXIT_OK
    except (OSError, RequestUnknownError, CallerUnknownError) as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_FAILURE
    report = build_report(index)
    print(msgspec.json.encode(report).decode() if arguments.json else format_report(report))
    return EXIT_OK
