"""Tracking of probes.

A probe is a heartbeat whose reply is awaited. A `ProbeRequest` asks another member to probe a
target too (an indirect probe in SWIM).
"""


class _PendingProbe:
    """A probe without a reply so far.

    Attributes:
        sequence: Number of the heartbeat, or of the request if another member asked first.
        deadline_ms: Time at which the current attempt fails.
        is_started_locally: Whether this instance probes the target for itself.
        is_retried: Whether the second attempt has begun.
        requesters: Members to notify of the reply, each as its id and the number of its request.
    """

    __slots__ = ("deadline_ms", "is_retried", "is_started_locally", "requesters", "sequence")

    def __init__(self, sequence: int, deadline_ms: int, is_started_locally: bool) -> None:
        self.sequence = sequence
        self.deadline_ms = deadline_ms
        self.is_started_locally = is_started_locally
        self.is_retried = False
        self.requesters: list[tuple[str, int]] = []


class ProbeTracker:
    """Tracks pending probes, at most one for each target.

    A probe is started by this instance, on request of another member, or both. Only a probe of
    this instance is retried and can fail.
    """

    __slots__ = ("_probes",)

    def __init__(self) -> None:
        self._probes: dict[str, _PendingProbe] = {}

    def start(self, target: str, sequence: int, deadline_ms: int) -> None:
        """Starts a probe, or continues a pending probe that other members requested.

        Does nothing if this instance already probes the target.

        Args:
            target: Id of the probed member.
            sequence: Number of the heartbeat; used only for a new probe.
            deadline_ms: Time at which the first attempt fails.
        """
        known = self._probes.get(target)
        if known is None:
            self._probes[target] = _PendingProbe(sequence, deadline_ms, is_started_locally=True)
        elif not known.is_started_locally:
            known.is_started_locally = True
            known.deadline_ms = deadline_ms

    def add_requester(self, target: str, requester: str, sequence: int, deadline_ms: int) -> None:
        """Registers a member to notify when the target replies.

        Args:
            target: Id of the probed member.
            requester: Id of the member that requested the probe.
            sequence: Number of its request.
            deadline_ms: Time at which the probe ends; used only for a new probe.
        """
        known = self._probes.get(target)
        if known is None:
            known = self._probes[target] = _PendingProbe(
                sequence, deadline_ms, is_started_locally=False
            )
        known.requesters.append((requester, sequence))

    def finish(self, target: str) -> list[tuple[str, int]]:
        """Ends the probe of a target and returns the requesters with their sequence numbers."""
        known = self._probes.pop(target, None)
        return [] if known is None else known.requesters

    def process_timeouts(
        self, now_ms: int, second_probe_timeout_ms: int
    ) -> tuple[list[tuple[str, int]], list[str]]:
        """Returns the targets to probe again and the failed targets.

        A probe of this instance is retried once with a new deadline; if that passes too, the
        target has failed. Probes requested by other members end at their first deadline.

        Args:
            now_ms: Current time.
            second_probe_timeout_ms: Timeout of the second attempt.

        Returns:
            Targets to probe again with the sequence number of the probe, and failed targets.
        """
        retries: list[tuple[str, int]] = []
        failed: list[str] = []
        for target, probe in list(self._probes.items()):
            if probe.deadline_ms > now_ms:
                continue
            if probe.is_started_locally and not probe.is_retried:
                probe.is_retried = True
                probe.deadline_ms = now_ms + second_probe_timeout_ms
                retries.append((target, probe.sequence))
                continue
            if probe.is_started_locally:
                failed.append(target)
            del self._probes[target]
        return retries, failed

    def clear(self) -> None:
        """Discards all probes."""
        self._probes.clear()
