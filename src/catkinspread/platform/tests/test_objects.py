"""Objects of the platform's store, well formed and not."""

import msgspec
import pytest

from catkinspread.deployment import (
    RequestKind,
    RoutingConfiguration,
    ServiceAddress,
    ServiceShare,
    StateKind,
    UpstreamRecord,
)
from catkinspread.deployment.source import StateRecord
from catkinspread.platform import objects
from catkinspread.platform.objects import ObjectShapeError

SERVER = {
    "service": "pages",
    "address": "10.128.0.9:8080",
    "zone": "khomas-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 1_200,
    "seq": 4,
    "born": 1_790_000_000_000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "198.18.0.1",
            "path_prefix": "/8443/",
            "kind": "unsafe",
            "timeout_ms": 2_000,
            "priority": 1,
            "service": "pages",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "pages", "max_flows": 2_000, "cold_per_s": 4.5}],
    "limits": {"idle_timeout_ms": 15_000},
}


def decode_record(kind: StateKind, name: str, spec: object) -> StateRecord | None:
    """Decodes content as the store gives it out."""
    return objects.decode_record(kind, name, msgspec.json.encode(spec))


def test_decodes_an_upstream() -> None:
    """Guards against names of the wire that end up in the wrong field."""
    record = decode_record(StateKind.UPSTREAMS, "i-7f3a91c2", SERVER)
    assert record == UpstreamRecord(
        name="i-7f3a91c2",
        key=0x7F3A91C2,
        service="pages",
        data_centre="khomas-a",
        host="10.128.0.9",
        port=8080,
        work_slots=2,
        is_draining=False,
        cold_remaining_ms=1_200,
        born_ms=1_790_000_000_000,
        report_number=4,
    )


def test_upstream_whose_cold_start_has_ended_is_warm() -> None:
    """Guards against a target that is left out because it counts below 0."""
    record = decode_record(StateKind.UPSTREAMS, "i-1a", {**SERVER, "cold_left_ms": -0.5})
    assert record.cold_remaining_ms == 0


def test_decodes_a_route_that_is_shared_by_services() -> None:
    """Guards against a configuration that is ignored because one route names several services."""
    backends = [{"service": "pages", "weight": 90}, {"service": "plates", "weight": 10}]
    shared = {**CONFIGURATION["routes"][0], "name": "r2", "backends": backends}
    del shared["service"]
    routes = [CONFIGURATION["routes"][0], shared]
    record = decode_record(StateKind.CONFIGURATION, "main", {**CONFIGURATION, "routes": routes})
    assert record.routes[0].shares == (ServiceShare("pages", 1.0),)
    assert record.routes[1].shares == (ServiceShare("pages", 90.0), ServiceShare("plates", 10.0))


def test_decodes_a_configuration() -> None:
    """Guards against routes that answer for the wrong address."""
    record = decode_record(StateKind.CONFIGURATION, "main", CONFIGURATION)
    assert isinstance(record, RoutingConfiguration)
    assert record.version == 7
    assert record.routes[0].address == ServiceAddress(0xC6120001, 8443)
    assert record.routes[0].kind is RequestKind.NON_IDEMPOTENT
    assert record.services[0].cold_rate_per_s == 4.5


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.128.0.9"},
        {"address": "host.example:80"},
        {"address": 17},
        {"service": None},
        {"state": "asleep"},
        {"slots": "two"},
        {"zone": 3},
    ],
)
def test_entry_of_another_shape_names_no_upstream(change: dict[str, object]) -> None:
    """Guards against an entry of another writer that stops the instance or gets flows."""
    with pytest.raises(ObjectShapeError):
        decode_record(StateKind.UPSTREAMS, "i-7f3a91c2", {**SERVER, **change})


@pytest.mark.parametrize("spec", [None, "text", 5, [], {}])
def test_content_that_is_no_table_names_no_upstream(spec: object) -> None:
    """Guards against content that is not even a table."""
    with pytest.raises(ObjectShapeError):
        decode_record(StateKind.UPSTREAMS, "i-1", spec)


@pytest.mark.parametrize("name", ["xyz", "i-0", "i-00000000", "1" + "0" * 16])
def test_name_without_a_number_names_no_upstream(name: str) -> None:
    """Guards against an upstream whose packets would be open to any process."""
    with pytest.raises(ObjectShapeError):
        decode_record(StateKind.UPSTREAMS, name, SERVER)


def test_other_objects_of_the_kind_are_not_used() -> None:
    """Guards against a second configuration that replaces the one in force."""
    assert decode_record(StateKind.CONFIGURATION, "draft", CONFIGURATION) is None


@pytest.mark.parametrize("field", sorted(SERVER))
def test_entry_with_a_missing_field_names_no_upstream(field: str) -> None:
    """Guards against an incomplete entry of another writer that is taken for a target's own."""
    incomplete = {name: value for name, value in SERVER.items() if name != field}
    with pytest.raises(ObjectShapeError):
        decode_record(StateKind.UPSTREAMS, "i-7f3a91c2", incomplete)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:99999"},
        {"address": "10.128.0.9:-1"},
        {"address": "10.128.0.9:+80"},
        {"address": "10.128.0.9: 80"},
        {"address": "10.128.0.9:\uff18\uff10"},
        {"address": "10.128.0.9:" + "9" * 5_000},
        {"address": "0.0.0.0:80"},
        {"address": "224.0.0.1:80"},
        {"address": "255.255.255.255:80"},
        {"service": ""},
        {"service": "s" * 256},
        {"zone": ""},
        {"zone": "z" * 256},
        {"version": 1},
        {"version": "v" * 256},
        {"slots": -1},
        {"slots": 2**53 + 1},
        {"slots": True},
        {"cold_left_ms": -1e300},
        {"cold_left_ms": 1e300},
        {"cold_left_ms": "0"},
        {"born": -1},
        {"born": 2**63},
        {"born": 1.5},
        {"seq": -1},
        {"seq": 2**63},
        {"seq": 2**64 - 1},
    ],
    ids=str,
)
def test_value_beyond_its_bound_names_no_upstream(change: dict[str, object]) -> None:
    """Guards against a value that cannot be used or cannot be passed on to another instance."""
    with pytest.raises(ObjectShapeError):
        decode_record(StateKind.UPSTREAMS, "i-7f3a91c2", {**SERVER, **change})


@pytest.mark.parametrize(
    "change",
    [
        {"version": 2**63},
        {"version": -1},
        {"routes": {}},
        {"routes": [{**CONFIGURATION["routes"][0], "path_prefix": "/65536/"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "path_prefix": "/0/"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "host": "example"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "timeout_ms": 2**64}]},
        {"routes": [{**CONFIGURATION["routes"][0], "service": ""}]},
        {"services": [{"name": "pages", "cold_per_s": -1}]},
        {"services": [{"name": "pages", "max_flows": 2**64}]},
    ],
    ids=str,
)
def test_configuration_beyond_a_bound_is_not_used(change: dict[str, object]) -> None:
    """Guards against a configuration that cannot be used or passed on to another instance."""
    with pytest.raises(ObjectShapeError):
        decode_record(StateKind.CONFIGURATION, "main", {**CONFIGURATION, **change})


def test_largest_values_within_the_bounds_are_used() -> None:
    """Guards against bounds that refuse what a target may write."""
    largest = {"seq": 2**63 - 1, "born": 2**63 - 1, "slots": 0, "address": "10.128.0.9:65535"}
    record = decode_record(StateKind.UPSTREAMS, "i-7f3a91c2", {**SERVER, **largest, "extra": [1]})
    assert isinstance(record, UpstreamRecord)
    assert (record.port, record.work_slots, record.report_number) == (65_535, 1, 2**63 - 1)
