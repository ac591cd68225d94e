"""The subcommand `run`, which runs an instance."""

import argparse
import sys

import anyio
import zmq
from absl import logging

from catkinspread.composition import load_settings_file, run_instance
from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, register_subcommand


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="settings file of the instance")


@register_subcommand("run", "run an instance until SIGTERM or SIGINT", _configure)
def run(arguments: argparse.Namespace) -> int:
    """Runs an instance until SIGTERM or SIGINT.

    Returns:
        EXIT_FAILURE if the settings are not valid or an OSError or ZMQError stopped the instance, for
        example because an address cannot be bound.
    """
    loaded = load_settings_file(arguments.file)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_FAILURE
    logging.set_verbosity(logging.INFO)
    status = EXIT_OK
    try:
        anyio.run(run_instance, loaded.ok)
    except* (OSError, zmq.ZMQError) as group:
        for error in group.exceptions:
            print(f"catkinspread run: {error}", file=sys.stderr)
        status = EXIT_FAILURE
    return status
