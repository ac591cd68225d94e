"""The subcommand that runs an instance."""

import argparse
import sys

import anyio
import zmq
from absl import logging

from catkinspread.composition import load_instance_file, run_instance
from catkinspread.console.registry import EXIT_OK, EXIT_REFUSED, register_subcommand


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="settings file of the instance")


@register_subcommand("run", "run an instance until SIGTERM", _configure)
def run(arguments: argparse.Namespace) -> int:
    """Runs an instance until it is told to stop."""
    loaded = load_instance_file(arguments.file)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_REFUSED
    logging.set_verbosity(logging.INFO)
    status = EXIT_OK
    try:
        anyio.run(run_instance, loaded.ok)
    except* (OSError, zmq.ZMQError) as group:
        for error in group.exceptions:
            print(f"catkinspread run: {error}", file=sys.stderr)
        status = EXIT_REFUSED
    return status
