"""The subcommands that check settings and make keys."""

import argparse
import sys

import zmq
from expression import Result

from catkinspread.console.registry import EXIT_OK, EXIT_REFUSED, register_subcommand
from catkinspread.settings import InstanceSettings, SettingsError, load_instance_settings


def _configure_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", nargs="+", help="settings file of an instance")


@register_subcommand("check", "check settings files without starting anything", _configure_check)
def check_settings(arguments: argparse.Namespace) -> int:
    """Checks settings files and prints every problem."""
    status = EXIT_OK
    for file in arguments.file:
        match load_instance_settings(file):
            case Result(tag="ok", ok=InstanceSettings(name=name)):
                print(f"{file}: settings of instance {name} are valid")
            case Result(tag="error", error=SettingsError() as error):
                print(error, file=sys.stderr)
                status = EXIT_REFUSED
    return status


@register_subcommand("make-keys", "print a new pair of CURVE keys", lambda parser: None)
def make_keys(_: argparse.Namespace) -> int:
    """Prints a public and a secret key in Z85 form."""
    public, secret = zmq.curve_keypair()
    print(f"public = {public.decode()}\nsecret = {secret.decode()}")
    return EXIT_OK
