"""Detection of upstreams that stopped answering the flows that are open on them.

Upstreams answer callers directly, so an instance sees an answer only in the acknowledgement of the
caller, and a missing answer only in its retransmissions. These alone do not show that an upstream
is down: packets get lost, and a busy upstream answers late. An upstream counts as unreachable once

* UNANSWERED_MIN packets to it went unanswered,
* FAILED_CHECKS_MIN attempts in a row to open a TCP connection to it failed, while one to an
  upstream that answers succeeded, and
* none of its flows on this instance was answered in the meantime.

The operating system of an upstream accepts connections also while the upstream is busy, so a check
tells the two cases apart. That ends once its queue of new connections is full, as in an overload of
the whole service. Upstreams then leave some packets unanswered and answer later ones. While many
upstreams of a service do so, none of them is checked or counts as unreachable.
"""

import math

from catkinspread.deployment import KnownUpstream

UNANSWERED_MIN = 2
FAILED_CHECKS_MIN = 2
# Minimum interval between the checks of an upstream, apart from the second check after a failed one.
CHECK_INTERVAL_MS = 1_000
# Unanswered packets are forgotten, and an upstream counts as reachable again, after this time
# without further ones. Failed checks alone do not prolong it.
EVIDENCE_TIMEOUT_MS = 3_000
# A service is overloaded while at least this many of its upstreams, and this share of those that
# left packets unanswered, answered again within the time after UNANSWERED_MIN unanswered packets.
# An upstream that is down does not, and a single lost packet is no such case. One instance of 63
# had about one unanswered packet a second for each upstream in a measured overload, so that most
# upstreams answer again within 3 s.
RECOVERED_MIN = 3
RECOVERED_SHARE_MIN = 1 / 3
RECOVERY_WINDOW_MS = 3_000


class _Evidence:
    """What speaks against the reachability of one upstream.

    Attributes:
        upstream: The upstream.
        since_ms: When the first packet without an answer was noticed.
        last_at_ms: When the latest unanswered packet or report was recorded.
        unanswered_count: Number of unanswered packets; a report counts as UNANSWERED_MIN.
        own_unanswered_count: Number of unanswered packets of this instance.
        failed_checks: Number of failed checks in a row.
        next_check_at_ms: When the next check is due.
        is_checking: Whether a check is running.
        is_confirmed: Whether the upstream counts as unreachable.
    """

    __slots__ = (
        "failed_checks",
        "is_checking",
        "is_confirmed",
        "last_at_ms",
        "next_check_at_ms",
        "own_unanswered_count",
        "since_ms",
        "unanswered_count",
        "upstream",
    )

    def __init__(self, upstream: KnownUpstream, since_ms: int, next_check_at_ms: int) -> None:
        self.upstream = upstream
        self.since_ms = since_ms
        self.last_at_ms = since_ms
        self.unanswered_count = 0
        self.own_unanswered_count = 0
        self.failed_checks = 0
        self.next_check_at_ms = next_check_at_ms
        self.is_checking = False
        self.is_confirmed = False


class ReachabilityTracker:
    """Tracks which upstreams are unreachable. Times are in ms on one clock."""

    __slots__ = ("_answered_at_ms", "_checked_at_ms", "_evidence", "_recovered_at_ms")

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}
        self._answered_at_ms: dict[str, int] = {}
        self._checked_at_ms: dict[str, int] = {}
        # When upstreams answered after unanswered packets, by service and name.
        self._recovered_at_ms: dict[str, dict[str, int]] = {}

    def record_answer(self, name: str, now_ms: int) -> None:
        """Records an answer of an upstream, which removes all evidence against it."""
        self._answered_at_ms[name] = now_ms
        evidence = self._evidence.pop(name, None)
        if evidence is not None and evidence.own_unanswered_count >= UNANSWERED_MIN:
            service = evidence.upstream.record.service
            self._recovered_at_ms.setdefault(service, {})[name] = now_ms

    def has_answered_since(self, name: str, since_ms: int) -> bool:
        """Whether an upstream answered at a time or later."""
        return self._answered_at_ms.get(name, -1) >= since_ms

    def record_unanswered(self, upstream: KnownUpstream, now_ms: int) -> None:
        """Records that a packet to an upstream was not answered in time."""
        self._add_evidence(upstream, now_ms, now_ms, 1).own_unanswered_count += 1

    def record_report(self, upstream: KnownUpstream, since_ms: int, now_ms: int) -> None:
        """Records that another instance found an upstream unreachable.

        A report takes the place of unanswered packets; the upstream is still checked from here.

        Args:
            upstream: The upstream.
            since_ms: Since when the other instance has had no answer.
            now_ms: Current time.
        """
        if not self.has_answered_since(upstream.record.name, since_ms):
            self._add_evidence(upstream, since_ms, now_ms, UNANSWERED_MIN)

    def list_due(self, now_ms: int) -> list[tuple[KnownUpstream, int]]:
        """Returns the upstreams whose check is due, and since when each has not answered."""
        self._drop_outdated(now_ms)
        overloaded = self._update_overloaded_services(now_ms)
        return [
            (evidence.upstream, evidence.since_ms)
            for evidence in self._evidence.values()
            if not evidence.is_checking
            and now_ms >= evidence.next_check_at_ms
            and evidence.upstream.record.service not in overloaded
        ]

    def start_check(self, name: str) -> None:
        """Notes that a check of an upstream has started, which must end in `record_check`."""
        evidence = self._evidence.get(name)
        if evidence is not None:
            evidence.is_checking = True

    def record_check(self, name: str, is_reachable: bool | None, now_ms: int) -> None:
        """Records the result of a check.

        Args:
            name: Name of the upstream.
            is_reachable: Whether a connection was opened; None if the check was not conclusive.
            now_ms: Current time.
        """
        self._checked_at_ms[name] = now_ms
        evidence = self._evidence.get(name)
        if evidence is None:
            return
        evidence.is_checking = False
        if is_reachable:
            del self._evidence[name]
            return
        if is_reachable is not None:
            evidence.failed_checks += 1
        if is_reachable is None or evidence.failed_checks >= FAILED_CHECKS_MIN:
            evidence.next_check_at_ms = now_ms + CHECK_INTERVAL_MS

    def confirm_unreachable(self, now_ms: int) -> list[KnownUpstream]:
        """Returns the upstreams that count as unreachable since this call."""
        confirmed = []
        overloaded = self._update_overloaded_services(now_ms)
        for evidence in self._evidence.values():
            if evidence.is_confirmed or evidence.failed_checks < FAILED_CHECKS_MIN:
                continue
            if evidence.upstream.record.service in overloaded:
                continue
            if evidence.unanswered_count >= UNANSWERED_MIN:
                evidence.is_confirmed = True
                confirmed.append(evidence.upstream)
        return confirmed

    def list_unreachable(self) -> list[KnownUpstream]:
        """Returns the upstreams that count as unreachable."""
        return [found.upstream for found in self._evidence.values() if found.is_confirmed]

    def find_unreachable_since_ms(self, name: str) -> int | None:
        """Returns since when an unreachable upstream has not answered; None if it is reachable."""
        evidence = self._evidence.get(name)
        return evidence.since_ms if evidence is not None and evidence.is_confirmed else None

    def is_overloaded(self, service: str, now_ms: int) -> bool:
        """Whether many upstreams of a service answer some packets and not others."""
        return service in self._update_overloaded_services(now_ms)

    def discard_evidence(self) -> None:
        """Drops the evidence against all upstreams."""
        self._evidence.clear()
        self._recovered_at_ms.clear()

    def forget(self, name: str) -> None:
        """Drops all data about an upstream that is gone."""
        self._evidence.pop(name, None)
        self._answered_at_ms.pop(name, None)
        self._checked_at_ms.pop(name, None)

    def _add_evidence(
        self, upstream: KnownUpstream, since_ms: int, now_ms: int, unanswered_count: int
    ) -> _Evidence:
        self._drop_outdated(now_ms)
        name = upstream.record.name
        evidence = self._evidence.get(name)
        if evidence is None:
            earliest_ms = self._checked_at_ms.get(name, -CHECK_INTERVAL_MS) + CHECK_INTERVAL_MS
            evidence = _Evidence(upstream, since_ms, max(now_ms, earliest_ms))
            self._evidence[name] = evidence
        evidence.last_at_ms = now_ms
        evidence.unanswered_count += unanswered_count
        return evidence

    def _update_overloaded_services(self, now_ms: int) -> set[str]:
        """Returns the services many of whose upstreams answer some packets and not others.

        Recoveries that are too old are dropped.
        """
        overloaded = set()
        for service, recovered_at_ms in list(self._recovered_at_ms.items()):
            for name, at_ms in list(recovered_at_ms.items()):
                if now_ms - at_ms >= RECOVERY_WINDOW_MS:
                    del recovered_at_ms[name]
            if not recovered_at_ms:
                del self._recovered_at_ms[service]
            elif len(recovered_at_ms) >= self._count_recovered_min(service, recovered_at_ms):
                overloaded.add(service)
        return overloaded

    def _count_recovered_min(self, service: str, recovered_at_ms: dict[str, int]) -> int:
        unanswered = {
            name
            for name, evidence in self._evidence.items()
            if evidence.upstream.record.service == service
        }
        suspected_count = len(unanswered | recovered_at_ms.keys())
        return max(RECOVERED_MIN, math.ceil(RECOVERED_SHARE_MIN * suspected_count))

    def _drop_outdated(self, now_ms: int) -> None:
        for name, evidence in list(self._evidence.items()):
            if now_ms - evidence.last_at_ms >= EVIDENCE_TIMEOUT_MS:
                del self._evidence[name]
