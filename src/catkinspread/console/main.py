"""Entry point: parses the command line and runs a subcommand."""

import argparse
import importlib
import sys

from absl import logging

from catkinspread.console.registry import EXIT_REFUSED, list_subcommands

_MODULES = ("bench", "check", "demo", "instance", "soak", "stand_ins", "statements")


def main(arguments: list[str] | None = None) -> int:
    """Runs the program.

    Args:
        arguments: Words after the program name; those of the process if None.

    Returns:
        0 on success, 1 where the system refuses, 2 for bad usage.
    """
    for module in _MODULES:
        importlib.import_module(f"catkinspread.console.{module}")
    parser = argparse.ArgumentParser(
        prog="catkinspread", description="A layer-4 load balancer with stand-ins and benches."
    )
    parser.add_argument("--verbose", action="store_true", help="log every step")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for subcommand in list_subcommands():
        subparser = commands.add_parser(
            subcommand.name, help=subcommand.summary, description=subcommand.summary
        )
        subcommand.configure(subparser)
        subparser.set_defaults(run=subcommand.run)
    try:
        parsed = parser.parse_args(arguments)
    except SystemExit as error:
        return int(error.code or 0)
    logging.set_verbosity(logging.INFO if parsed.verbose else logging.WARNING)
    try:
        return parsed.run(parsed)
    except KeyboardInterrupt:
        return EXIT_REFUSED
    except BrokenPipeError:
        sys.stderr.close()
        return EXIT_REFUSED
