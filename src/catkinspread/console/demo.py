"""The subcommand `demo`."""

import argparse

import anyio

from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, register_subcommand
from catkinspread.demo import run_demo
from catkinspread.emulator.deployments import DEPLOYMENTS


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment",
        choices=sorted(DEPLOYMENTS),
        default="kalahari",
        help="emulated deployment to run (default kalahari)",
    )
    parser.add_argument(
        "--base-port", type=int, default=23_000, help="first port on loopback (default 23000)"
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="random seed of the fabric faults (default 1)"
    )


@register_subcommand(
    "demo",
    "run an emulated deployment with changes and faults, and check the guarantees",
    _configure,
)
def run_demo_command(arguments: argparse.Namespace) -> int:
    """Runs the demo; returns EXIT_FAILURE if a guarantee was violated."""
    deployment = DEPLOYMENTS[arguments.deployment]
    is_kept = anyio.run(run_demo, deployment, arguments.base_port, arguments.seed)
    return EXIT_OK if is_kept else EXIT_FAILURE
