"""Resets the open flows of upstreams that no longer serve them.

A caller notices only at its deadline that nobody answers a flow. A reset lets it open a new flow at
once: it can repeat an idempotent request in time, and an idle flow is replaced before the next
request is sent on it. A reset of an established flow does not say whether a request has run.
"""

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.forwarding.decision_log import DecisionLog
from catkinspread.forwarding.flows import Flow, FlowTable
from catkinspread.forwarding.packets import PacketOutput, ResetReason
from catkinspread.forwarding.reachability import ReachabilityTracker
from catkinspread.forwarding.waiting import WaitTracker


class UpstreamCheck(msgspec.Struct, frozen=True):
    """A request to check whether an upstream is reachable.

    Attributes:
        upstream: The upstream to check.
        control: An upstream of the same service that has answered in the meantime. If it is not
            reachable by a check either, the check proves nothing.
    """

    upstream: KnownUpstream
    control: KnownUpstream


class FlowResetter:
    """Decides which open flows are reset, and resets them.

    Flows of an unreachable upstream are reset only while another upstream that could take them
    answers. Otherwise the caller gains nothing, and the cause may be a link of this instance.

    Args:
        state: State of the deployment.
        flows: The flows of this instance.
        reachability: Tells which upstreams are unreachable.
        waits: Ends the wait of flows that are reset.
        output: Sends the resets.
        log: Log of the resets.
    """

    __slots__ = ("_flows", "_log", "_output", "_reachability", "_state", "_waits")

    def __init__(
        self,
        state: DeploymentState,
        flows: FlowTable,
        reachability: ReachabilityTracker,
        waits: WaitTracker,
        output: PacketOutput,
        log: DecisionLog,
    ) -> None:
        self._state = state
        self._flows = flows
        self._reachability = reachability
        self._waits = waits
        self._output = output
        self._log = log

    def take_due_checks(self, now_ms: int) -> list[UpstreamCheck]:
        """Returns the checks to run now; each must end in `ReachabilityTracker.record_check`."""
        checks = []
        for upstream, since_ms in self._reachability.list_due(now_ms):
            control = self._find_alternative(upstream.record.service, upstream, since_ms)
            if control is not None:
                self._reachability.start_check(upstream.record.name)
                checks.append(UpstreamCheck(upstream, control))
        return checks

    def reset_flows_of_gone(self, upstream: KnownUpstream, now_ms: int) -> int:
        """Resets the open flows of an upstream that is gone and returns their number.

        An upstream that answered after its record disappeared keeps its flows.
        """
        if self._has_answered_without_record(upstream):
            return 0
        flows = self._flows.list_open_flows(upstream)
        for flow in flows:
            self._reset(flow, ResetReason.UPSTREAM_GONE, now_ms)
        self._reachability.forget(upstream.record.name)
        return len(flows)

    def reset_flows_of_unreachable(self, now_ms: int) -> int:
        """Resets open flows of all unreachable upstreams and returns their number."""
        count = 0
        for upstream in self._reachability.list_unreachable():
            for flow in self._flows.list_open_flows(upstream):
                count += self.reset_if_unreachable(flow, now_ms)
        return count

    def reset_if_unreachable(self, flow: Flow, now_ms: int) -> bool:
        """Resets a flow if its upstream is unreachable and another one can take the flow."""
        name = flow.upstream.record.name
        since_ms = self._reachability.find_unreachable_since_ms(name)
        if since_ms is None or not self._has_alternative(flow, since_ms):
            return False
        self._reset(flow, ResetReason.UPSTREAM_UNREACHABLE, now_ms)
        return True

    def reset_if_gone(self, flow: Flow, now_ms: int) -> bool:
        """Resets a flow that was not answered in time if its upstream is gone."""
        if not flow.upstream.is_gone or self._has_answered_without_record(flow.upstream):
            return False
        self._reset(flow, ResetReason.UPSTREAM_GONE, now_ms)
        return True

    def _has_answered_without_record(self, upstream: KnownUpstream) -> bool:
        missing_since_ms = upstream.missing_since_ms
        return missing_since_ms is not None and self._reachability.has_answered_since(
            upstream.record.name, missing_since_ms
        )

    def _has_alternative(self, flow: Flow, since_ms: int) -> bool:
        route = self._state.find_route(flow.key.address)
        return route is not None and any(
            self._find_alternative(share.service, flow.upstream, since_ms) is not None
            for share in route.shares
        )

    def _find_alternative(
        self, service: str, excluded: KnownUpstream, since_ms: int
    ) -> KnownUpstream | None:
        """Returns an eligible upstream that has answered since a time; None if there is none."""
        for upstream in self._state.list_eligible_upstreams(service):
            if upstream is not excluded and self._reachability.has_answered_since(
                upstream.record.name, since_ms
            ):
                return upstream
        return None

    def _reset(self, flow: Flow, reason: ResetReason, now_ms: int) -> None:
        self._log.log_reset(flow, reason, now_ms)
        self._waits.stop(flow)
        self._flows.mark_closed(flow)
        flow.is_reset = True
        self._output.reset(flow.key, flow.acknowledged)
