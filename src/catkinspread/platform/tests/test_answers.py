"""Answers of the store that hold several versions of an object."""

import tracemalloc

import msgspec

from catkinspread.deployment import RoutingConfiguration, StateKind
from catkinspread.platform.answers import read_changes

ROUTES = 300
VERSIONS = 12


def _build_answer(versions: list[int]) -> bytes:
    """Returns the answer to a watch with one event for each version of the configuration."""
    routes = [
        {
            "name": f"route-{number}",
            "host": "198.18.0.1",
            "path_prefix": f"/{number + 1}/",
            "kind": "safe",
            "service": "pages",
        }
        for number in range(ROUTES)
    ]
    events = [
        {
            "object": {
                "meta": {"name": "main", "revision": 10 + place},
                "spec": {"version": version, "routes": routes, "services": []},
            }
        }
        for place, version in enumerate(versions)
    ]
    return msgspec.json.encode({"at_rev": 10 + len(versions), "events": events})


def _measure_peak_bytes(body: bytes) -> int:
    tracemalloc.start()
    try:
        read_changes(StateKind.CONFIGURATION, body)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def test_memory_of_reading_does_not_grow_with_the_versions_in_one_answer() -> None:
    """Guards against a process that exceeds its memory when it reads a storm of changes at once."""
    two_bytes = _measure_peak_bytes(_build_answer([1, 2]))
    many_bytes = _measure_peak_bytes(_build_answer(list(range(1, VERSIONS + 1))))
    assert many_bytes < 1.5 * two_bytes


def test_newest_version_of_an_answer_is_read() -> None:
    """Guards against an older version that takes the place of a newer one in the same answer."""
    for versions, expected in (([3, 7], [7]), ([7, 3], [7, 3])):
        answer = read_changes(StateKind.CONFIGURATION, _build_answer(versions))
        records = [change.record for change in answer.changes]
        assert all(isinstance(record, RoutingConfiguration) for record in records)
        assert [record.version for record in records] == expected
        assert answer.revision == 10 + len(versions)
