"""Tests of the byte counters."""

from catkinspread.transport.traffic import TrafficKind, TrafficMeter


def test_bytes_are_counted_by_kind_and_scope() -> None:
    """Guards against costs of links between data centres that no counter explains."""
    meter = TrafficMeter()
    meter.record(TrafficKind.PACKETS, True, 100)
    meter.record(TrafficKind.PACKETS, True, 50)
    meter.record(TrafficKind.PACKETS, False, 7)
    assert meter.bytes_by_name == {"packets_remote": 150, "packets_local": 7}
