"""The subcommand that runs the demo."""

import argparse

import anyio

from catkinspread.console.registry import EXIT_OK, EXIT_REFUSED, register_subcommand
from catkinspread.demo import run_demo
from catkinspread.emulator.deployments import DEPLOYMENTS


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="kalahari", help="which deployment"
    )
    parser.add_argument("--base-port", type=int, default=23_000, help="first loopback port")
    parser.add_argument("--seed", type=int, default=1, help="seed of the fabric")


@register_subcommand("demo", "run a deployment through changes and faults", _configure)
def run_demo_command(arguments: argparse.Namespace) -> int:
    """Runs the demo; returns EXIT_REFUSED if a guarantee was broken."""
    deployment = DEPLOYMENTS[arguments.deployment]
    is_kept = anyio.run(run_demo, deployment, arguments.base_port, arguments.seed)
    return EXIT_OK if is_kept else EXIT_REFUSED
