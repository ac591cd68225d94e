"""Settings of a forwarding instance."""

import configparser
import pathlib

import msgspec

from catkinspread.admission.settings import AdmissionSettings
from catkinspread.ini import (
    Field,
    parse_endpoint,
    parse_integer,
    parse_ipv4_endpoint,
    parse_name,
    read_fields,
    read_ini_file,
)
from catkinspread.model import Endpoint
from catkinspread.runtime.admission_settings import (
    ADMISSION_FIELDS,
    SECTION,
    build_admission_settings,
)

_MS_PER_S = 1_000
_HOUR_MS = 3_600_000
_PORT_MAX = 65_535
# Commonly used by exporters, so another program of the machine may have it.
METRICS_PORT_DEFAULT = 9_464


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Settings of a forwarding instance.

    Attributes:
        name: Unique name of the instance.
        data_centre: Data centre in which it runs.
        is_first_start: Whether this is the first start of the whole deployment.
        packet_address: Address that receives the packets of callers.
        readiness_address: Address of the readiness check.
        peer_port: UDP and TCP port for traffic between instances.
        metrics_port: TCP port of the metrics page, on the host of the packet address.
        grace_ms: Time from the stop signal until the platform kills the process.
        flow_lifetime_max_ms: Maximum lifetime of a flow; an upstream whose record is missing is
            kept for this time after the record went missing.
        seeds: Instances for the initial contact with the others. Only the host is used, with
            `peer_port`; the port is ignored.
        source_address: Address of the source of the deployment state.
        heartbeat_ms: Interval at which upstreams report.
        admission: Mode and margins of admission control.
    """

    name: str
    data_centre: str
    is_first_start: bool
    packet_address: Endpoint
    readiness_address: Endpoint
    peer_port: int
    metrics_port: int
    grace_ms: int
    flow_lifetime_max_ms: int
    seeds: tuple[Endpoint, ...]
    source_address: Endpoint
    heartbeat_ms: int
    admission: AdmissionSettings = AdmissionSettings()


def _parse_seconds(text: str) -> int:
    """Parses a number of seconds, possibly with a fraction, into milliseconds."""
    try:
        seconds = float(text)
    except ValueError:
        raise ValueError("expected a number of seconds") from None
    if not 0 <= seconds <= _HOUR_MS / _MS_PER_S:
        raise ValueError("must be from 0 to 3600")
    return round(seconds * _MS_PER_S)


def _parse_flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("expected true or false")
    return text == "true"


def _parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    return tuple(parse_endpoint(part.strip()) for part in text.split(",") if part.strip())


_FIELDS = [
    Field("instance", "name", parse_name),
    Field("instance", "data_centre", parse_name),
    Field("instance", "is_first_start", _parse_flag),
    Field("instance", "packet_address", parse_ipv4_endpoint),
    Field("instance", "readiness_address", parse_endpoint),
    Field("instance", "peer_port", parse_integer(1, _PORT_MAX)),
    Field("instance", "metrics_port", parse_integer(1, _PORT_MAX), METRICS_PORT_DEFAULT),
    Field("instance", "grace_s", _parse_seconds),
    Field("instance", "flow_lifetime_max_s", _parse_seconds),
    Field("peers", "seeds", _parse_endpoints),
    Field("source", "address", parse_endpoint),
    Field("source", "heartbeat_ms", parse_integer(1, _HOUR_MS)),
    *ADMISSION_FIELDS,
]


def read_forwarding_settings(path: str | pathlib.Path) -> ForwardingSettings:
    """Reads and validates the settings file of a forwarding instance.

    Raises:
        SettingsError: If the file is invalid; the message lists every problem.
    """
    return build_forwarding_settings(str(path), read_ini_file(path))


def build_forwarding_settings(
    file_name: str, config: configparser.ConfigParser
) -> ForwardingSettings:
    """Validates the content of a parsed file and builds the settings from it.

    Args:
        file_name: Name of the file, for error messages.
        config: Parsed content of the file.

    Raises:
        SettingsError: If the file is invalid; the message lists every problem.
    """
    values = read_fields(file_name, config, _FIELDS)
    instance = values["instance"]
    return ForwardingSettings(
        grace_ms=instance.pop("grace_s"),
        flow_lifetime_max_ms=instance.pop("flow_lifetime_max_s"),
        **instance,
        seeds=values["peers"]["seeds"],
        source_address=values["source"]["address"],
        heartbeat_ms=values["source"]["heartbeat_ms"],
        admission=build_admission_settings(file_name, values[SECTION]),
    )
