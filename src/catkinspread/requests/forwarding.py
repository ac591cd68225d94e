"""Pending non-idempotent requests from the callers of an instance.

They are forwarded to the claimer of their shard, or passed to the claimer of this instance if it
claims them itself.
"""

import msgspec

from catkinspread.hashing import rank_by_rendezvous
from catkinspread.model import InstanceIncarnation
from catkinspread.requests.idempotent import FlowRequestKey
from catkinspread.requests.identity import SHARD_COUNT, compute_shard
from catkinspread.requests.parameters import RequestParameters
from catkinspread.requests.timers import TimerQueue
from catkinspread.wire import Request


class ForwardedEntry(msgspec.Struct, eq=False):
    """A request that waits for the answer from its claimer, which may be this instance.

    Attributes:
        key: Identity and flow of the request.
        service: Service of the flow.
        request: The request.
        expires_at_ms: Without an answer, OUTCOME_UNKNOWN is returned at this time, in ms since
            the Unix epoch.
        confirmed_at_ms: When the claimer last confirmed the request, in ms since the Unix epoch;
            initially the time of arrival.
        is_claimed_locally: Whether this instance claims the request because the claimer of its
            shard did not confirm it in time.
    """

    key: FlowRequestKey
    service: str
    request: Request
    expires_at_ms: int
    confirmed_at_ms: int
    is_claimed_locally: bool = False


def select_claimers(live_instances: frozenset[InstanceIncarnation]) -> list[InstanceIncarnation]:
    """Returns the claimer of each shard: the live instance with the highest rendezvous hash.

    If several incarnations of an instance are live, only the latest is considered.

    Args:
        live_instances: The live instances; must not be empty.

    Returns:
        The claimers; the index in the list is the shard.
    """
    latest: dict[str, InstanceIncarnation] = {}
    for member in sorted(live_instances, key=lambda item: item.incarnation):
        latest[member.instance] = member
    return [
        latest[rank_by_rendezvous(f"claims/{shard}", latest)[0]] for shard in range(SHARD_COUNT)
    ]


class ForwardTable:
    """Stores the pending non-idempotent requests and the times of their retransmission.

    It also holds the requests that this instance claims itself. A request is removed when it is
    answered or expires.
    """

    __slots__ = ("_claimers", "_entries", "_parameters", "_timers")

    def __init__(self, member: InstanceIncarnation, parameters: RequestParameters) -> None:
        self._parameters = parameters
        self._claimers = select_claimers(frozenset([member]))
        self._entries: dict[FlowRequestKey, ForwardedEntry] = {}
        self._timers: TimerQueue[FlowRequestKey] = TimerQueue()

    def __len__(self) -> int:
        return len(self._entries)

    def find_claimer(self, entry: ForwardedEntry) -> InstanceIncarnation:
        """Returns the claimer of a request in the current membership view."""
        return self._claimers[compute_shard(entry.key.identity)]

    def list_shards(self, member: InstanceIncarnation) -> frozenset[int]:
        """Returns the shards that an instance is the claimer of."""
        return frozenset(shard for shard, claimer in enumerate(self._claimers) if claimer == member)

    def set_live_instances(
        self, live_instances: frozenset[InstanceIncarnation]
    ) -> list[ForwardedEntry]:
        """Sets the live instances and returns the requests whose claimer has changed.

        Requests with `is_claimed_locally` are left out: this instance continues to claim them.

        Args:
            live_instances: The live instances; must not be empty.
        """
        previous_claimers = self._claimers
        self._claimers = select_claimers(live_instances)
        return [
            entry
            for entry in self._entries.values()
            if not entry.is_claimed_locally
            and self.find_claimer(entry) != previous_claimers[compute_shard(entry.key.identity)]
        ]

    def add(
        self, key: FlowRequestKey, service: str, request: Request, now_ms: int
    ) -> ForwardedEntry | None:
        """Adds a request and returns its entry, or None if the table is full.

        If the request is already pending, the existing entry is returned.
        """
        entry = self._entries.get(key)
        if entry is not None:
            return entry
        if len(self._entries) >= self._parameters.pending_max:
            return None
        # One grace period is for the claimer, the other for the transfer of its answer.
        wait_ms = self._parameters.clock_skew_max_ms + 2 * self._parameters.settle_grace_ms
        expires_at_ms = max(request.deadline_ms, now_ms) + wait_ms
        entry = ForwardedEntry(key, service, request, expires_at_ms, now_ms)
        self._entries[key] = entry
        return entry

    def record_confirmation(self, key: FlowRequestKey, now_ms: int) -> None:
        """Records that the claimer is processing a request."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.confirmed_at_ms = now_ms

    def is_pending(self, key: FlowRequestKey) -> bool:
        """Returns whether a request is waiting for its answer."""
        return key in self._entries

    def remove(self, key: FlowRequestKey) -> bool:
        """Removes a request; returns whether it was pending."""
        self._timers.remove(key)
        return self._entries.pop(key, None) is not None

    def schedule_retransmission(self, entry: ForwardedEntry, now_ms: int) -> None:
        """Schedules the next retransmission relative to the current time."""
        due_ms = min(now_ms + self._parameters.forward_retry_ms, entry.expires_at_ms)
        self._timers.set(entry.key, due_ms)

    def pop_due(self, now_ms: int) -> list[ForwardedEntry]:
        """Removes the timers that are due and returns their requests.

        The requests are to be retransmitted, or answered if they have expired.
        """
        return [self._entries[key] for key in self._timers.pop_due(now_ms)]
