"""Settings of an instance that forwards packets and reads the deployment from a source."""

import configparser
import pathlib

import msgspec

from catkinspread.ini import (
    Field,
    parse_endpoint,
    parse_integer,
    parse_name,
    read_fields,
    read_file,
)
from catkinspread.model import Endpoint

_MS_PER_S = 1_000
_HOUR_MS = 3_600_000
_PORT_MAX = 65_535


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Settings of a forwarding instance.

    Attributes:
        name: Unique name of the instance.
        data_centre: Data centre it runs in.
        is_first_start: Whether the whole deployment starts for the first time.
        packet_address: Where packets of callers arrive.
        readiness_address: Where the readiness check is answered.
        peer_port: UDP port for messages between instances.
        grace_ms: Time between the request to stop and the end of the process.
        flow_lifetime_max_ms: Flows older than this may be discarded.
        seeds: Instances that may know the others.
        source_address: Where the state of the deployment is read.
        heartbeat_ms: Interval at which upstreams report.
    """

    name: str
    data_centre: str
    is_first_start: bool
    packet_address: Endpoint
    readiness_address: Endpoint
    peer_port: int
    grace_ms: int
    flow_lifetime_max_ms: int
    seeds: tuple[Endpoint, ...]
    source_address: Endpoint
    heartbeat_ms: int


def _parse_seconds(text: str) -> int:
    """Returns milliseconds from a number of seconds that may have a fraction."""
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
    Field("instance", "packet_address", parse_endpoint),
    Field("instance", "readiness_address", parse_endpoint),
    Field("instance", "peer_port", parse_integer(1, _PORT_MAX)),
    Field("instance", "grace_s", _parse_seconds),
    Field("instance", "flow_lifetime_max_s", _parse_seconds),
    Field("peers", "seeds", _parse_endpoints),
    Field("source", "address", parse_endpoint),
    Field("source", "heartbeat_ms", parse_integer(1, _HOUR_MS)),
]


def read_forwarding_settings(path: str | pathlib.Path) -> ForwardingSettings:
    """Reads and validates the settings file of a forwarding instance.

    Raises:
        SettingsError: With every problem found.
    """
    return build_forwarding_settings(str(path), read_file(path))


def build_forwarding_settings(file: str, parser: configparser.ConfigParser) -> ForwardingSettings:
    """Validates parsed settings.

    Args:
        file: Name of the file, for error messages.
        parser: Content of the file.

    Raises:
        SettingsError: With every problem found.
    """
    values = read_fields(file, parser, _FIELDS)
    instance = values["instance"]
    return ForwardingSettings(
        grace_ms=instance.pop("grace_s"),
        flow_lifetime_max_ms=instance.pop("flow_lifetime_max_s"),
        **instance,
        seeds=values["peers"]["seeds"],
        source_address=values["source"]["address"],
        heartbeat_ms=values["source"]["heartbeat_ms"],
    )
