"""Settings of one instance and their validation."""

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

# Sections with the access tokens of operators, which catkinspread.operations validates.
TOKEN_SECTION_PREFIX = "token "
_Z85_KEY_LENGTH = 40
_DRAIN_TIMEOUT_LIMIT_MS = 3_600_000
_FLOWS_MAX_LIMIT = 10_000_000


class PeerSeed(msgspec.Struct, frozen=True):
    """An instance that is contacted at start to discover the other instances.

    Attributes:
        name: Name of the instance.
        endpoint: Its peer address.
    """

    name: str
    endpoint: Endpoint


class KeySettings(msgspec.Struct, frozen=True):
    """CurveZMQ key pairs of the ZeroMQ sockets between instances, Z85-encoded.

    All instances share the server key pair; client key pairs may differ.

    Attributes:
        server_public: Public key of the listening peer sockets.
        server_secret: Secret key of the listening peer sockets.
        client_public: Public key that this instance uses for outgoing connections.
        client_secret: Secret key that this instance uses for outgoing connections.
        accepted_public: Public keys of the peers whose connections are accepted; includes the old
            and the new keys during a key rotation.
    """

    server_public: str
    server_secret: str
    client_public: str
    client_secret: str
    accepted_public: tuple[str, ...]


class InstanceSettings(msgspec.Struct, frozen=True):
    """Settings that an instance reads at start.

    Attributes:
        name: Unique name of the instance.
        data_centre: Name of the data centre that it runs in.
        region: Name of the region of the data centre.
        fabric_address: Local UDP address that receives packets of callers from the fabric.
        fabric_return_address: UDP address of the fabric to which packets for callers are sent.
        upstream_address: Local UDP address for packets to and from upstreams.
        peer_address: Local address that accepts messages of other instances.
        admin_address: Local address of the administration API.
        metrics_address: Local address that serves metrics.
        drain_timeout_ms: Maximum duration of a graceful shutdown, 0 to 3,600,000 (one hour);
            30,000 by default.
        flows_max: Maximum number of flows whose caller address is stored, 1 to 10,000,000; 500,000
            by default. At the limit, a new flow evicts the one whose latest packet is the oldest.
        platform_url: URL of the object API of the platform.
        platform_timeout_ms: Timeout of requests to the platform, 10 to 60,000; 2,000 by default.
        seeds: Instances contacted at start to discover the others; none by default.
        keys: CurveZMQ keys for messages between instances.
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
        raise ValueError(
            f"expected a CURVE key of {_Z85_KEY_LENGTH} ASCII characters in Z85 encoding"
        )
    return text


def _parse_secret_key(text: str) -> str:
    """Parses a secret key like a public key; its error message must not contain the value."""
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
    Field("instance", "drain_timeout_ms", parse_integer(0, _DRAIN_TIMEOUT_LIMIT_MS), 30_000),
    Field("instance", "flows_max", parse_integer(1, _FLOWS_MAX_LIMIT), 500_000),
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
        path: Path of the INI file.

    Returns:
        The settings, or an error that lists all problems with file, section, key and value.
    """
    return load_ini_file(path).bind(lambda parser: read_instance_settings(str(path), parser))


def load_ini_file(path: str | pathlib.Path) -> Result[configparser.ConfigParser, SettingsError]:
    """Reads and parses an INI file without validating its sections and keys.

    Returns:
        The parsed content, or an error if the file cannot be read or its syntax is invalid.
    """
    try:
        return Ok(read_ini_file(path))
    except SettingsError as error:
        return Error(error)


def read_instance_settings(
    file: str, parser: configparser.ConfigParser
) -> Result[InstanceSettings, SettingsError]:
    """Validates the parsed settings of an instance.

    Args:
        file: Name of the file, for error messages.
        parser: Parsed content of the file.

    Returns:
        The settings, or an error that lists all problems. It hides the values of keys whose names
        end in `_secret`.
    """
    try:
        values = read_fields(file, parser, _FIELDS, TOKEN_SECTION_PREFIX)
    except SettingsError as error:
        return Error(_redact_secrets(error))
    settings = _build_settings(values)
    problems = _find_duplicate_addresses(file, settings)
    return Error(SettingsError(problems)) if problems else Ok(settings)


def _build_settings(values: dict[str, dict[str, object]]) -> InstanceSettings:
    platform = values["platform"]
    return InstanceSettings(
        **values["instance"],
        platform_url=platform["url"],
        platform_timeout_ms=platform["timeout_ms"],
        seeds=values["peers"]["seeds"],
        keys=KeySettings(**values["keys"]),
    )


def _find_duplicate_addresses(file: str, settings: InstanceSettings) -> tuple[SettingsProblem, ...]:
    """Finds local addresses that are used twice for the same transport protocol."""
    keys_by_transport = (
        ("fabric_address", "upstream_address"),
        ("peer_address", "admin_address", "metrics_address"),
    )
    problems = []
    for keys in keys_by_transport:
        key_by_endpoint: dict[Endpoint, str] = {}
        for key in keys:
            endpoint = getattr(settings, key)
            if endpoint in key_by_endpoint:
                message = f"must differ from {key_by_endpoint[endpoint]}"
                problems.append(SettingsProblem(file, "instance", key, str(endpoint), message))
            key_by_endpoint.setdefault(endpoint, key)
    return tuple(problems)


def _redact_secrets(error: SettingsError) -> SettingsError:
    problems = tuple(
        msgspec.structs.replace(problem, value="<hidden>")
        if problem.key.endswith("_secret") and problem.value
        else problem
        for problem in error.problems
    )
    return SettingsError(problems)
