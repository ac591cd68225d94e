"""The subcommands `check` and `make-keys`.

`check` validates settings files; `make-keys` generates a CURVE key pair.
"""

import argparse
import sys

import zmq

from catkinspread.composition import load_settings_file
from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, register_subcommand


def _configure_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", nargs="+", help="settings file of an instance")


@register_subcommand(
    "check", "validate settings files without running an instance", _configure_check
)
def check_settings(arguments: argparse.Namespace) -> int:
    """Validates settings files and prints their problems.

    Access tokens are checked only in files without other problems, up to the first problem.

    Returns:
        EXIT_FAILURE if a file has a problem.
    """
    status = EXIT_OK
    for file in arguments.file:
        loaded = load_settings_file(file)
        if loaded.is_error():
            print(loaded.error, file=sys.stderr)
            status = EXIT_FAILURE
        else:
            print(f"{file}: settings of instance {loaded.ok.instance.name} are valid")
    return status


@register_subcommand("make-keys", "generate and print a CURVE key pair", lambda parser: None)
def make_keys(_: argparse.Namespace) -> int:
    """Generates a CURVE key pair and prints both keys in Z85 encoding."""
    public, secret = zmq.curve_keypair()
    print(f"public = {public.decode()}\nsecret = {secret.decode()}")
    return EXIT_OK
