"""The flow table compared with a naive one that checks every flow each time."""

import random

from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding.flows import Flow, FlowTable
from catkinspread.forwarding.packets import FlowKey
from catkinspread.forwarding.tests.builders import ORDERS_ADDRESS, START_MS, build_upstream

IDLE_TIMEOUT_MS = 15_000
STEPS = 4_000
STEP_MS = 20


def _scan_all(flows: list[Flow], now_ms: int) -> tuple[set[int], set[int]]:
    """Returns the ports of expired flows and those of flows with an unanswered request."""
    expired = {f.key.caller_port for f in flows if f.is_expired(now_ms, IDLE_TIMEOUT_MS)}
    unanswered = {
        f.key.caller_port
        for f in flows
        if f.pending_since_ms is not None
        and (f.key.caller_port in expired or f.is_request_overdue(now_ms))
    }
    return expired, unanswered


def _change(flow: Flow, table: FlowTable, rng: random.Random, now_ms: int) -> None:
    flow.last_packet_at_ms = now_ms
    if not flow.is_established:
        flow.is_established = True
    elif flow.pending_since_ms is None and rng.random() < 0.5:
        flow.pending_since_ms = now_ms
    elif rng.random() < 0.5:
        flow.pending_since_ms = None
    else:
        flow.is_closed = True
    table.reschedule(flow, IDLE_TIMEOUT_MS)


def test_expires_the_same_flows_as_a_full_scan() -> None:
    """Guards against a flow that is lost from the queue or removed too early."""
    rng = random.Random(1)
    table = FlowTable()
    upstream = KnownUpstream(build_upstream("a"), START_MS)
    flows: dict[int, Flow] = {}
    now_ms = START_MS
    for port in range(STEPS):
        now_ms += STEP_MS
        flow = Flow(FlowKey(1, port, ORDERS_ADDRESS), None, upstream, now_ms)
        flows[port] = flow
        table.add(flow)
        for changed in rng.sample(sorted(flows), min(6, len(flows))):
            _change(flows[changed], table, rng, now_ms)
        if port % 5 == 0:
            expired, unanswered = _scan_all(list(flows.values()), now_ms)
            found = table.remove_expired(now_ms, IDLE_TIMEOUT_MS)
            assert {f.key.caller_port for f in found} == unanswered
            for ended in found:
                ended.pending_since_ms = None
            for gone in expired:
                del flows[gone]
            assert len(table) == len(flows)
    assert len(flows) < STEPS
