"""The subcommands that check settings and make keys."""

import argparse
import sys

import zmq

from catkinspread.composition import load_instance_file
from catkinspread.console.registry import EXIT_OK, EXIT_REFUSED, register_subcommand


def _configure_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", nargs="+", help="settings file of an instance")


@register_subcommand("check", "check settings files without starting anything", _configure_check)
def check_settings(arguments: argparse.Namespace) -> int:
    """Checks settings files and prints every problem."""
    status = EXIT_OK
    for file in arguments.file:
        loaded = load_instance_file(file)
        if loaded.is_error():
            print(loaded.error, file=sys.stderr)
            status = EXIT_REFUSED
        else:
            print(f"{file}: settings of instance {loaded.ok.settings.name} are valid")
    return status


@register_subcommand("make-keys", "print a new pair of CURVE keys", lambda parser: None)
def make_keys(_: argparse.Namespace) -> int:
    """Prints a public and a secret key in Z85 form."""
    public, secret = zmq.curve_keypair()
    print(f"public = {public.decode()}\nsecret = {secret.decode()}")
    return EXIT_OK
