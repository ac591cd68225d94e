"""The subcommands that run emulators, and `write-example`.

There are emulators of the platform (object store and instance registry), the packet fabric, upstreams
and callers.
"""

import argparse
import pathlib
import sys

import anyio

from catkinspread.clock import SystemClock
from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, register_subcommand
from catkinspread.emulator import (
    CallerLoad,
    CallerReport,
    Fabric,
    FabricFaults,
    UpstreamModel,
    UpstreamOptions,
    run_callers,
    run_fabric,
    run_upstream,
)
from catkinspread.emulator.deployments import DEPLOYMENTS, AddressPlan
from catkinspread.emulator.examples import write_example
from catkinspread.emulator.platform_api import PlatformSettings
from catkinspread.emulator.platform_server import run_platform
from catkinspread.model import Endpoint
from catkinspread.settings import parse_endpoint


def _parse_endpoint_argument(text: str) -> Endpoint:
    try:
        return parse_endpoint(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r}: {error}") from error


def _configure_platform(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--address", type=_parse_endpoint_argument, required=True, help="IP:PORT to listen on"
    )
    parser.add_argument(
        "--writes-per-s", type=int, default=500, help="limit of writes per second (default 500)"
    )
    parser.add_argument(
        "--reads-per-s", type=int, default=2_000, help="limit of reads per second (default 2000)"
    )
    parser.add_argument(
        "--list-lag-ms",
        type=int,
        default=1_000,
        help="delay until a change is in the instance list, in ms (default 1000)",
    )


@register_subcommand(
    "platform",
    "run an emulator of the platform: object store and instance registry",
    _configure_platform,
)
def run_platform_command(arguments: argparse.Namespace) -> int:
    """Runs the platform emulator until interrupted."""
    settings = PlatformSettings(
        arguments.writes_per_s, arguments.reads_per_s, arguments.list_lag_ms
    )
    address = arguments.address
    anyio.run(run_platform, address.host, address.port, settings)
    return EXIT_OK


def _configure_upstream(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--address", type=_parse_endpoint_argument, required=True, help="IP:PORT to listen on"
    )
    parser.add_argument(
        "--work-slots",
        type=int,
        default=2,
        help="number of requests executed in parallel (default 2)",
    )
    parser.add_argument(
        "--service-ms", type=int, default=5, help="execution time of a request, in ms (default 5)"
    )
    parser.add_argument(
        "--warmup-ms", type=int, default=5_000, help="duration of the warm-up, in ms (default 5000)"
    )


@register_subcommand("upstream", "run an emulator of an upstream", _configure_upstream)
def run_upstream_command(arguments: argparse.Namespace) -> int:
    """Runs an upstream emulator until interrupted."""
    clock = SystemClock()
    options = UpstreamOptions(
        arguments.work_slots, arguments.service_ms, warmup_ms=arguments.warmup_ms
    )
    model = UpstreamModel(options, clock.now_ms())
    anyio.run(run_upstream, arguments.address, model, clock)
    return EXIT_OK


def _configure_fabric(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--inner",
        type=_parse_endpoint_argument,
        required=True,
        help="IP:PORT that instances send to",
    )
    parser.add_argument(
        "--service",
        type=_parse_endpoint_argument,
        action="append",
        required=True,
        help="IP:PORT of a service; may be repeated",
    )
    parser.add_argument(
        "--instance",
        type=_parse_endpoint_argument,
        action="append",
        required=True,
        help="fabric address of an instance as IP:PORT; may be repeated",
    )
    parser.add_argument(
        "--loss", type=float, default=0.0, help="fraction of packets that are lost (default 0)"
    )
    parser.add_argument(
        "--duplication",
        type=float,
        default=0.0,
        help="fraction of packets delivered to two instances (default 0)",
    )
    parser.add_argument(
        "--delay-max-ms", type=int, default=0, help="maximum random delay, in ms (default 0)"
    )
    parser.add_argument("--seed", type=int, default=1, help="random seed (default 1)")


@register_subcommand(
    "fabric",
    "run an emulator of the packet fabric, which spreads packets of callers over the instances",
    _configure_fabric,
)
def run_fabric_command(arguments: argparse.Namespace) -> int:
    """Runs the fabric emulator until interrupted."""
    faults = FabricFaults(arguments.loss, arguments.duplication, arguments.delay_max_ms)
    fabric = Fabric(faults, arguments.seed)
    fabric.instances = {str(endpoint): endpoint for endpoint in arguments.instance}
    anyio.run(run_fabric, fabric, arguments.service, arguments.inner)
    return EXIT_OK


def _configure_callers(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--service", type=_parse_endpoint_argument, required=True, help="IP:PORT of the service"
    )
    parser.add_argument(
        "--name", default="caller", help="prefix of the caller ids (default caller)"
    )
    parser.add_argument(
        "--flows", type=int, default=50, help="number of concurrent flows (default 50)"
    )
    parser.add_argument("--packets", type=int, default=20, help="packets per flow (default 20)")
    parser.add_argument(
        "--interval-ms",
        type=int,
        default=50,
        help="interval between packets of a flow, in ms (default 50)",
    )
    parser.add_argument(
        "--order-share",
        type=float,
        default=0.1,
        help="fraction of packets that are non-idempotent requests (default 0.1)",
    )
    parser.add_argument("--seed", type=int, default=1, help="random seed (default 1)")


@register_subcommand(
    "callers", "generate load from emulated callers and print the results", _configure_callers
)
def run_callers_command(arguments: argparse.Namespace) -> int:
    """Generates load from emulated callers and prints the outcomes.

    Returns:
        EXIT_FAILURE if a flow was broken or a response was wrong.
    """
    load = CallerLoad(
        arguments.service,
        arguments.name,
        arguments.flows,
        arguments.packets,
        arguments.interval_ms,
        order_share=arguments.order_share,
        seed=arguments.seed,
    )
    report = CallerReport()
    anyio.run(run_callers, load, SystemClock(), report)
    print(
        f"opened {report.opened}, refused {report.refused}, broken {report.broken}, "
        f"answered {report.answered}, wrong {report.wrong}, not run {len(report.not_run)}, "
        f"unknown {report.unknown}, unanswered {report.unanswered}"
    )
    return EXIT_OK if report.broken == report.wrong == 0 else EXIT_FAILURE


def _configure_example(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "deployment", choices=sorted(DEPLOYMENTS), help="deployment to write the files for"
    )
    parser.add_argument("directory", type=pathlib.Path, help="directory to write the files to")
    parser.add_argument(
        "--base-port", type=int, default=21_000, help="first port on loopback (default 21000)"
    )


@register_subcommand(
    "write-example",
    "write settings files, an access token (a secret) and first commands of an example deployment",
    _configure_example,
)
def write_example_command(arguments: argparse.Namespace) -> int:
    """Writes the files of an example deployment on loopback and prints their names.

    The files are the settings of each instance, `first-commands.txt` and `token.txt`, which holds an
    access token in clear text and must be kept secret.

    Returns:
        EXIT_FAILURE if a file cannot be written.
    """
    plan = AddressPlan(arguments.base_port)
    try:
        names = write_example(DEPLOYMENTS[arguments.deployment], plan, arguments.directory)
    except OSError as error:
        print(f"catkinspread write-example: {error}", file=sys.stderr)
        return EXIT_FAILURE
    print("\n".join(names))
    return EXIT_OK
