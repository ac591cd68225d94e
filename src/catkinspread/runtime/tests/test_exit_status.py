"""Tests of the exit status and the log line of a program that ends by itself."""

import json

import pytest

from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.runtime.exit_status import ExitStatus, report_unexpected_error
from catkinspread.supervision import Part, RequiredPartFailed

_PACKETS = Part("packets", None, "10.0.0.1:8172", is_required=True)


@pytest.mark.parametrize(
    ("error", "status", "text"),
    [
        (ValueError("a reason"), ExitStatus.UNEXPECTED_ERROR, "ValueError: a reason"),
        (
            ExceptionGroup("", [ExceptionGroup("", [RequiredPartFailed(_PACKETS, "no socket")])]),
            ExitStatus.REQUIRED_PART_FAILED,
            "packets at 10.0.0.1:8172 failed: no socket",
        ),
    ],
)
def test_status_tells_a_failed_packet_port_from_an_unexpected_error(
    error: Exception, status: ExitStatus, text: str
) -> None:
    """Guards against an operator who cannot tell from the status why an instance ended."""
    lines = LineRecorder()
    assert report_unexpected_error(lines, "one", error) == status
    (line,) = map(json.loads, lines.lines)
    assert line["event"] == "ended_by_error"
    assert line["status"] == status
    assert text in line["errors"][0]
