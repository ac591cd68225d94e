"""Parses the command line and runs a subcommand."""

import argparse
import importlib
import sys

from absl import logging

from catkinspread.console.registry import EXIT_FAILURE, list_subcommands

# Imported because they register their subcommands.
_SUBCOMMAND_MODULES = (
    "bench",
    "check",
    "check_configuration",
    "demo",
    "explain",
    "instance",
    "soak",
    "emulators",
    "statements",
)


def main(arguments: list[str] | None = None) -> int:
    """Runs the command-line program.

    Args:
        arguments: Command-line arguments without the program name; None for `sys.argv[1:]`.

    Returns:
        Exit status: 0 on success, 1 on failure, 2 for wrong usage.
    """
    for module in _SUBCOMMAND_MODULES:
        importlib.import_module(f"catkinspread.console.{module}")
    parser = argparse.ArgumentParser(
        prog="catkinspread",
        description="A layer-4 load balancer, with emulators of its environment and benchmarks.",
    )
    parser.add_argument(
        "--verbose", action="store_true", help="log at level INFO instead of WARNING"
    )
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
        return EXIT_FAILURE
    except BrokenPipeError:
        # Suppresses the interpreter's message about the failed flush of stdout at exit.
        sys.stderr.close()
        return EXIT_FAILURE
