"""Replication of pins to the replicas of an owner group, with acknowledgements."""

import itertools
from collections.abc import Iterable

from catkinspread.routing.actions import SendMessage
from catkinspread.routing.limits import RoutingLimits
from catkinspread.routing.messages import PinnedFlows, ReplicatePins

FlowKey = tuple[str, int]


class _Request:
    """A message to a replica that has not been acknowledged yet."""

    __slots__ = ("member", "message", "sent_ms")

    def __init__(self, member: str, message: ReplicatePins, sent_ms: int) -> None:
        self.member = member
        self.message = message
        self.sent_ms = sent_ms


class _PendingPin:
    """A pin that some members have not acknowledged, and when the wait for them started."""

    __slots__ = ("members", "since_ms")

    def __init__(self, members: set[str], since_ms: int) -> None:
        self.members = members
        self.since_ms = since_ms


def group_flows(pins: Iterable[tuple[int, str]]) -> tuple[PinnedFlows, ...]:
    """Groups (flow, upstream) pairs by upstream."""
    flows: dict[str, list[int]] = {}
    for flow, upstream in pins:
        flows.setdefault(upstream, []).append(flow)
    return tuple(PinnedFlows(name, tuple(flows[name])) for name in sorted(flows))


class PinReplicator:
    """Sends pins to replicas and tracks which are pending, that is, not acknowledged yet.

    Pins added between two flushes are sent to a replica in one message, so that a new flow costs
    about 10 bytes for each replica in messages of 100 flows.
    """

    __slots__ = ("_limits", "_outbox", "_pending", "_request_ids", "_requests")

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._request_ids = itertools.count(1)
        self._outbox: dict[tuple[str, str], dict[int, str]] = {}
        self._pending: dict[FlowKey, _PendingPin] = {}
        self._requests: dict[int, _Request] = {}

    @property
    def is_full(self) -> bool:
        """Whether the limit of pending pins is reached."""
        return len(self._pending) >= self._limits.pending_pins_max

    def replicate(
        self, service: str, flow: int, upstream: str, members: Iterable[str], now_ms: int
    ) -> None:
        """Queues a pin for members; its flow is pending until all have acknowledged it."""
        names = set(members)
        self._pending[service, flow] = _PendingPin(names, now_ms)
        for name in names:
            self._outbox.setdefault((name, service), {})[flow] = upstream

    def is_pending(self, service: str, flow: int) -> bool:
        """Returns whether the pin of a flow is pending."""
        return (service, flow) in self._pending

    def restart_wait(self, service: str, flow: int, now_ms: int) -> None:
        """Restarts the time-out of a pending flow after a retransmitted packet."""
        self._pending[service, flow].since_ms = now_ms

    def copy_pins(
        self,
        service: str,
        version: int,
        pins: Iterable[tuple[int, str]],
        member: str,
        now_ms: int,
    ) -> tuple[list[int], list[SendMessage]]:
        """Starts copying pins to a member in messages of limited size.

        Returns:
            The ids of the requests and the messages to send.
        """
        pairs = list(pins)
        request_ids: list[int] = []
        messages: list[SendMessage] = []
        for start in range(0, len(pairs), self._limits.copy_flows_max):
            chunk = pairs[start : start + self._limits.copy_flows_max]
            messages.append(self._create_request(service, version, chunk, member, now_ms))
            request_ids.append(messages[-1].message.request)
        return request_ids, messages

    def is_request_pending(self, request_id: int) -> bool:
        """Returns whether a request is pending."""
        return request_id in self._requests

    def flush(self, version: int, now_ms: int) -> list[SendMessage]:
        """Returns the messages to send now: new pins and retransmitted requests."""
        messages: list[SendMessage] = []
        for request in self._requests.values():
            if now_ms - request.sent_ms >= self._limits.replication_retry_ms:
                request.sent_ms = now_ms
                messages.append(SendMessage(request.member, request.message))
        outbox, self._outbox = self._outbox, {}
        for (member, service), flows in sorted(outbox.items()):
            pairs = list(flows.items())
            for start in range(0, len(pairs), self._limits.copy_flows_max):
                chunk = pairs[start : start + self._limits.copy_flows_max]
                messages.append(self._create_request(service, version, chunk, member, now_ms))
        return messages

    def find_service(self, request_id: int) -> str | None:
        """Returns the service of a pending request, or None if no request has this id."""
        request = self._requests.get(request_id)
        return None if request is None else request.message.service

    def record_acknowledgement(self, sender: str, request_id: int) -> list[FlowKey]:
        """Records an acknowledgement and returns the flows that are no longer pending."""
        request = self._requests.get(request_id)
        if request is None or request.member != sender:
            return []
        del self._requests[request_id]
        flows = [flow for pins in request.message.pins for flow in pins.flows]
        service = request.message.service
        return self._remove_waiting_member([(service, flow) for flow in flows], sender)

    def clear(self) -> list[FlowKey]:
        """Discards all requests and returns the flows that were pending."""
        keys = list(self._pending)
        self._pending = {}
        self._requests = {}
        self._outbox = {}
        return keys

    def retain_members(self, alive: frozenset[str]) -> list[FlowKey]:
        """Stops waiting for failed members and returns the flows that are no longer pending."""
        for request_id, request in list(self._requests.items()):
            if request.member not in alive:
                del self._requests[request_id]
        self._outbox = {key: value for key, value in self._outbox.items() if key[0] in alive}
        released: list[FlowKey] = []
        for key, pending in list(self._pending.items()):
            pending.members &= alive
            if not pending.members:
                del self._pending[key]
                released.append(key)
        return released

    def take_overdue(self, now_ms: int) -> list[FlowKey]:
        """Returns flows pending for `buffered_packet_timeout_ms` and restarts their time-out.

        Their pins are kept and still replicated, so a retransmitted open gets the same upstream.
        """
        overdue: list[FlowKey] = []
        for key, pending in self._pending.items():
            if now_ms - pending.since_ms >= self._limits.buffered_packet_timeout_ms:
                pending.since_ms = now_ms
                overdue.append(key)
        return overdue

    def _create_request(
        self,
        service: str,
        version: int,
        pins: list[tuple[int, str]],
        member: str,
        now_ms: int,
    ) -> SendMessage:
        """Records a pending request and returns the message to send."""
        request_id = next(self._request_ids)
        message = ReplicatePins(request_id, service, version, group_flows(pins))
        self._requests[request_id] = _Request(member, message, now_ms)
        return SendMessage(member, message)

    def _remove_waiting_member(self, keys: list[FlowKey], member: str) -> list[FlowKey]:
        released: list[FlowKey] = []
        for key in keys:
            pending = self._pending.get(key)
            if pending is None:
                continue
            pending.members.discard(member)
            if not pending.members:
                del self._pending[key]
                released.append(key)
        return released
