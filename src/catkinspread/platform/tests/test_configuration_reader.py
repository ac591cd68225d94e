"""Reading a configuration object for checks, refused ones above all."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.configuration_check import ConfigurationField
from catkinspread.deployment import ServiceShare, StateKind
from catkinspread.platform import objects
from catkinspread.platform.configuration_reader import read_configuration
from catkinspread.platform.field_names import FIELD_NAMES, get_field_name
from catkinspread.platform.objects import ObjectShapeError
from catkinspread.platform.tests.test_objects import CONFIGURATION

ROUTE = CONFIGURATION["routes"][0]
SERVICE = CONFIGURATION["services"][0]
_ODD_VALUES = st.sampled_from(
    [None, True, -1, 0, 1, 1.5, 2**53 + 1, 2**64, "", "x", "s" * 256, "/80/", [], [5], [{}], {}]
)


def read(content: object) -> object:
    """Returns the reading of content that is encoded as JSON."""
    return read_configuration(json.dumps(content).encode())


def list_places(content: object) -> list[tuple[str, str]]:
    """Returns the part and the field on the wire of each fault."""
    return [(str(fault.part), get_field_name(fault.field)) for fault in read(content).faults]


def test_draft_keeps_what_the_decoder_leaves_out():
    """Guards against backends of weight 0 and kinds of requests that the checks cannot see."""
    backends = [{"service": "pages", "weight": 0}, {"service": "plates", "weight": 2}]
    reading = read({**CONFIGURATION, "routes": [{**ROUTE, "kind": "odd", "backends": backends}]})
    ((_, entry),) = reading.draft.routes
    assert reading.faults == ()
    assert entry.route.shares == (ServiceShare("plates", 2.0),)
    assert entry.backends == (ServiceShare("pages", 0.0), ServiceShare("plates", 2.0))
    assert (entry.request_kind, entry.service) == ("odd", "pages")


def test_every_bad_entry_is_reported():
    """Guards against a report that stops at the first fault, as the decoder does."""
    content = {
        "version": -1,
        "routes": [
            {**ROUTE, "timeout_ms": "2", "priority": -1},
            ROUTE,
            {**ROUTE, "name": "r3", "host": "x", "path_prefix": "/0/", "service": ""},
            {**ROUTE, "name": "r4", "backends": [{"service": "pages", "weight": -1}]},
            5,
            {"host": "198.18.0.1", "path_prefix": "/1/", "kind": "safe"},
        ],
        "services": [SERVICE, {"name": "plates", "max_flows": -1, "cold_per_s": "1"}],
        "limits": {"idle_timeout_ms": None},
    }
    assert list_places(content) == [
        ("configuration", "version"),
        ("route 'r1' (entry 0)", "timeout_ms"),
        ("route 'r1' (entry 0)", "priority"),
        ("route 'r3' (entry 2)", "host"),
        ("route 'r3' (entry 2)", "path_prefix"),
        ("route 'r3' (entry 2)", "service"),
        ("route 'r4' (entry 3)", "backends"),
        ("route (entry 4)", ""),
        ("route (entry 5)", "name"),
        ("service 'plates' (entry 1)", "max_flows"),
        ("service 'plates' (entry 1)", "cold_per_s"),
        ("limits", "idle_timeout_ms"),
    ]


@pytest.mark.parametrize(
    ("content", "places"),
    [
        ({}, [("configuration", name) for name in ("version", "routes", "services")]),
        ({**CONFIGURATION, "routes": {}}, [("configuration", "routes")]),
        ({**CONFIGURATION, "services": None}, [("configuration", "services")]),
        ({**CONFIGURATION, "limits": []}, [("limits", "")]),
        ([], [("configuration", "")]),
        (None, [("configuration", "")]),
        ({**CONFIGURATION, "services": [SERVICE] * 100_001}, [("configuration", "")]),
    ],
    ids=lambda value: str(value)[:40],
)
def test_content_of_another_shape_is_reported(content, places):
    """Guards against content that is refused without a reason, or that ends the command."""
    assert list_places(content) == places


@pytest.mark.parametrize(
    "spec",
    [
        b"",
        b"{",
        b'{"version": 1',
        b'{"version": \xff}',
        b"[" * 100_000,
        b'{"version":1,"routes":[],"services":[],"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"version":1,"version":"1","routes":[],"services":[]}',
        b'{"version":"1","version":1,"routes":[],"services":[]}',
        b'{"version":1,"routes":[],"services":[{"name":5,"name":"pages"}]}',
        b'{"version":1,"routes":[{"name":5,"name":"r1","host":"1.1.1.1","path_prefix":"1","kind":""'
        b'}],"services":[]}',
    ],
    ids=lambda spec: str(spec[:40]),
)
def test_content_that_the_decoder_refuses_has_a_fault(spec):
    """Guards against damaged text, deep nesting and repeated keys that end the command or pass."""
    with pytest.raises(ObjectShapeError):
        objects.decode_record(StateKind.CONFIGURATION, "main", spec)
    reading = read_configuration(spec)
    assert reading.draft is None
    assert reading.faults


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from(sorted({*ROUTE, "backends", "aim_ms"})), _ODD_VALUES),
    st.dictionaries(st.sampled_from(sorted(SERVICE)), _ODD_VALUES),
    st.dictionaries(st.sampled_from(sorted(CONFIGURATION)), _ODD_VALUES, max_size=1),
)
def test_faults_exactly_if_the_decoder_refuses(route, service, top):
    """Guards against a check that accepts what instances refuse, or the other way round."""
    content = {
        **CONFIGURATION,
        "routes": [ROUTE, {**ROUTE, **route}],
        "services": [SERVICE, {**SERVICE, **service}],
        **top,
    }
    spec = json.dumps(content).encode()
    try:
        expected = objects.decode_record(StateKind.CONFIGURATION, "main", spec)
    except ObjectShapeError:
        expected = None
    reading = read_configuration(spec)
    assert (reading.draft and reading.draft.configuration) == expected
    assert bool(reading.faults) is (expected is None)


def test_every_field_has_one_name():
    """Guards against a field that the report cannot name, or that has the name of another one."""
    assert set(FIELD_NAMES) == set(ConfigurationField)
    assert len(set(FIELD_NAMES.values())) == len(FIELD_NAMES)
    for wire_type in (
        objects.WireConfiguration,
        objects.WireRoute,
        objects.WireService,
        objects.WireLimits,
        objects.WireBackend,
    ):
        names = {field.encode_name for field in msgspec.structs.fields(wire_type)}
        assert names <= set(FIELD_NAMES.values())
