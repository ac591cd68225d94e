"""Tests of the administration API and the metrics without sockets."""

import anyio
import pytest
from expression import Error, Ok

from catkinspread.instance import InstanceFigures
from catkinspread.instance.admin import STATEMENT_PATH, AdminApi
from catkinspread.instance.metrics import MetricsApi
from catkinspread.operations import Reply, Unauthorised, VersionChanged
from catkinspread.transport import HttpRequest


class FakeService:
    """Answers by the token."""

    async def execute(self, token, text):
        if token != "good":
            return Error(Unauthorised())
        if "if version 1" in text:
            return Error(
                VersionChanged(message="version is 2", version=2, changed_by="", command="")
            )
        return Ok(Reply(version=2, columns=("name",), rows=(("rd-1",),)))


def ask(text, token="good", method="POST", target=STATEMENT_PATH, accept=""):
    headers = {"authorization": f"Bearer {token}", "accept": accept}
    request = HttpRequest(method, target, headers, text)
    return anyio.run(AdminApi(FakeService()).answer, request)


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        ({"text": b"show services"}, 200, "rd-1"),
        ({"text": b"show services", "accept": "application/json"}, 200, '"name":"rd-1"'),
        ({"text": b"x", "token": "bad"}, 401, "not authorised"),
        ({"text": b"drain upstream a if version 1"}, 409, "version is 2"),
        ({"text": b"\xff"}, 400, "not UTF-8"),
        ({"text": b"", "method": "GET"}, 405, "the only method is POST"),
        ({"text": b"", "target": "/other"}, 404, "the only path"),
    ],
)
def test_each_outcome_has_its_status(arguments, status, text):
    """Guards against a refusal that looks like success, or tells a stranger more than no."""
    answer = ask(**arguments)
    assert answer.status == status
    assert text in answer.body.decode()


def test_metrics_carry_their_values_and_drop_reasons():
    """Guards against a metric that is missing from the page that operators watch."""
    figures = InstanceFigures(7, 9, 10, 1, 2, 3, 4, 5, 6, 100, 200, {"unknown-flow": 8}, 0)
    request = HttpRequest("GET", "/metrics", {}, b"")
    text = anyio.run(MetricsApi(lambda: figures).answer, request).body.decode()
    assert "catkinspread_configuration_version 7.0" in text
    assert 'catkinspread_dropped_packets_total{reason="unknown-flow"} 8.0' in text
    assert "catkinspread_peer_received_bytes_total 200.0" in text
    other = HttpRequest("POST", "/metrics", {}, b"")
    assert anyio.run(MetricsApi(lambda: figures).answer, other).status == 404
