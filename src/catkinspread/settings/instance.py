"""The settings of one instance."""

import configparser
import pathlib

import msgspec
from expression import Error, Ok, Result

from catkinspread.ini import (
    Field,
    SettingsError,
    SettingsProblem,
    parse_endpoint,
    parse_integer,
    parse_name,
    parse_url,
    read_fields,
    read_ini_file,
)
from catkinspread.model import Endpoint

# Sections with tokens of operators are read by the operations part.
TOKEN_SECTION_PREFIX = "token "
_Z85_KEY_LENGTH = 40
_MS_PER_HOUR = 3_600_000
_FLOWS_MAX = 10_000_000


class PeerSeed(msgspec.Struct, frozen=True):
    """An instance that is asked first for the members of the fleet."""

    name: str
    endpoint: Endpoint


class KeySettings(msgspec.Struct, frozen=True):
    """CURVE keys in Z85 form.

    Attributes:
        server_public: Public key of the peer sockets of all instances.
        server_secret: Secret key of the peer sockets of all instances.
        client_public: Public key with which this instance connects.
        client_secret: Secret key with which this instance connects.
        accepted_public: Keys of peers that are heard; two generations while keys are replaced.
    """

    server_public: str
    server_secret: str
    client_public: str
    client_secret: str
    accepted_public: tuple[str, ...]


class InstanceSettings(msgspec.Struct, frozen=True):
    """Everything that an instance reads at start.

    Attributes:
        name: Unique name of the instance.
        data_centre: Data centre it runs in.
        region: Region of the data centre.
        fabric_address: Where the fabric hands packets of callers.
        fabric_return_address: Where it sends packets for callers.
        upstream_address: Where it talks to upstreams.
        peer_address: Where other instances reach it.
        admin_address: Where the administration API listens.
        metrics_address: Where metrics are served.
        drain_timeout_ms: Longest time of a graceful shutdown.
        flows_max: Flows whose caller address is remembered.
        platform_url: Object API of the platform.
        platform_timeout_ms: Longest wait for an answer of the platform.
        seeds: Instances asked first for members.
        keys: CURVE keys for traffic between instances.
    """

    name: str
    data_centre: str
    region: str
    fabric_address: Endpoint
    fabric_return_address: Endpoint
    upstream_address: Endpoint
    peer_address: Endpoint
    admin_address: Endpoint
    metrics_address: Endpoint
    drain_timeout_ms: int
    flows_max: int
    platform_url: str
    platform_timeout_ms: int
    seeds: tuple[PeerSeed, ...]
    keys: KeySettings


def _parse_key(text: str) -> str:
    if len(text) != _Z85_KEY_LENGTH or not text.isascii():
        raise ValueError(f"expected a CURVE key of {_Z85_KEY_LENGTH} characters (Z85)")
    return text


def _parse_secret_key(text: str) -> str:
    """Same as a public key, but the message must not repeat the value."""
    return _parse_key(text)


def _parse_keys(text: str) -> tuple[str, ...]:
    return tuple(_parse_key(part) for part in text.split())


def _parse_seeds(text: str) -> tuple[PeerSeed, ...]:
    seeds = []
    for part in text.split():
        name, separator, endpoint = part.partition("@")
        if not separator:
            raise ValueError(f"expected NAME@IP:PORT, found {part!r}")
        seeds.append(PeerSeed(parse_name(name), parse_endpoint(endpoint)))
    return tuple(seeds)


_FIELDS = [
    Field("instance", "name", parse_name),
    Field("instance", "data_centre", parse_name),
    Field("instance", "region", parse_name),
    Field("instance", "fabric_address", parse_endpoint),
    Field("instance", "fabric_return_address", parse_endpoint),
    Field("instance", "upstream_address", parse_endpoint),
    Field("instance", "peer_address", parse_endpoint),
    Field("instance", "admin_address", parse_endpoint),
    Field("instance", "metrics_address", parse_endpoint),
    Field("instance", "drain_timeout_ms", parse_integer(0, _MS_PER_HOUR), 30_000),
    Field("instance", "flows_max", parse_integer(1, _FLOWS_MAX), 500_000),
    Field("platform", "url", parse_url),
    Field("platform", "timeout_ms", parse_integer(10, 60_000), 2_000),
    Field("peers", "seeds", _parse_seeds, ()),
    Field("keys", "server_public", _parse_key),
    Field("keys", "server_secret", _parse_secret_key),
    Field("keys", "client_public", _parse_key),
    Field("keys", "client_secret", _parse_secret_key),
    Field("keys", "accepted_public", _parse_keys),
]


def load_instance_settings(path: str | pathlib.Path) -> Result[InstanceSettings, SettingsError]:
    """Reads and validates the settings file of an instance.

    Args:
        path: The INI file.

    Returns:
        The settings, or an error that lists every problem with file, section, key and value.
    """
    return load_ini_file(path).bind(lambda parser: read_instance_settings(str(path), parser))


def load_ini_file(path: str | pathlib.Path) -> Result[configparser.ConfigParser, SettingsError]:
    """Reads an INI file without checking its sections."""
    try:
        return Ok(read_ini_file(path))
    except SettingsError as error:
        return Error(error)


def read_instance_settings(
    file: str, parser: configparser.ConfigParser
) -> Result[InstanceSettings, SettingsError]:
    """Validates the settings of an instance.

    Args:
        file: Name of the file, for error messages.
        parser: Content of the file.
    """
    try:
        values = read_fields(file, parser, _FIELDS, TOKEN_SECTION_PREFIX)
    except SettingsError as error:
        return Error(_hide_secrets(error))
    settings = _build(values)
    problems = _check_addresses(file, settings)
    return Error(SettingsError(problems)) if problems else Ok(settings)


def _build(values: dict[str, dict[str, object]]) -> InstanceSettings:
    platform = values["platform"]
    return InstanceSettings(
        **values["instance"],
        platform_url=platform["url"],
        platform_timeout_ms=platform["timeout_ms"],
        seeds=values["peers"]["seeds"],
        keys=KeySettings(**values["keys"]),
    )


def _check_addresses(file: str, settings: InstanceSettings) -> tuple[SettingsProblem, ...]:
    """Finds addresses of the same protocol that are given twice."""
    groups = (
        ("fabric_address", "upstream_address"),
        ("peer_address", "admin_address", "metrics_address"),
    )
    problems = []
    for keys in groups:
        seen: dict[Endpoint, str] = {}
        for key in keys:
            endpoint = getattr(settings, key)
            if endpoint in seen:
                message = f"is already the value of {seen[endpoint]}"
                problems.append(SettingsProblem(file, "instance", key, str(endpoint), message))
            seen.setdefault(endpoint, key)
    return tuple(problems)


def _hide_secrets(error: SettingsError) -> SettingsError:
    problems = tuple(
        msgspec.structs.replace(problem, value="<hidden>")
        if problem.key.endswith("_secret") and problem.value
        else problem
        for problem in error.problems
    )
    return SettingsError(problems)
