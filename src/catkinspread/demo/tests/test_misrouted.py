"""Explanations of packets at upstreams that do not hold their flow."""

from catkinspread.demo.site import Site
from catkinspread.emulator import UpstreamModel, UpstreamOptions
from catkinspread.emulator.deployments import KALAHARI, AddressPlan
from catkinspread.wire import Data, Open, Reset

NOW_MS = 1_000_000
FLOW = 0xABC


def test_packet_of_a_flow_of_another_upstream_is_explained() -> None:
    """Guards against a broken guarantee of the demo that nobody can trace."""
    site = Site(KALAHARI, AddressPlan(23_000), seed=1)
    for name in ("recipe-1", "recipe-2"):
        model = UpstreamModel(UpstreamOptions(), NOW_MS)
        site.watch_upstream(name, model)
    sender = site.plan.instance(1)[1]
    site.upstreams["recipe-1"].handle(Open(FLOW), sender, NOW_MS)
    replies = site.upstreams["recipe-2"].handle(Data(FLOW, b"x"), sender, NOW_MS + 70)
    assert replies == [Reset(FLOW, "flow is unknown")]
    (explanation,) = site.misrouted
    assert explanation.splitlines() == [
        "recipe-2 got Data of flow 0000000000000abc (a caller that no instance knows)"
        " from khomas-1-b at 1000070 ms and does not hold it",
        "  recipe-1 holds it, opened 70 ms before",
    ]
