"""What an instance knows about another one."""

from catkinspread.peers.messages import Member, MemberStatus


class PeerRecord:
    """State of one other instance.

    Attributes:
        member: Its identity.
        added_at_ms: When this instance first learned of it.
        last_heard_at_ms: When it was last heard from, directly or through gossip.
        status: The last status that it sent to this instance; None before the first one.
        status_at_ms: When that status arrived.
        leaving_since_ms: When it first said that it leaves; None if it has not.
        polled_since_ms: Since when it is polled as a feeder; None if it is not.
        feed_failed_until_ms: Until when it is not selected as a feeder because its answers failed.
        is_unresponsive: Whether it did not answer as a feeder and was replaced.
    """

    __slots__ = (
        "added_at_ms",
        "feed_failed_until_ms",
        "is_unresponsive",
        "last_heard_at_ms",
        "leaving_since_ms",
        "member",
        "polled_since_ms",
        "status",
        "status_at_ms",
    )

    def __init__(self, member: Member, last_heard_at_ms: int, now_ms: int) -> None:
        self.member = member
        self.added_at_ms = now_ms
        self.last_heard_at_ms = last_heard_at_ms
        self.status: MemberStatus | None = None
        self.status_at_ms = 0
        self.leaving_since_ms: int | None = None
        self.polled_since_ms: int | None = None
        self.is_unresponsive = False
        self.feed_failed_until_ms = 0

    def record_status(self, status: MemberStatus, now_ms: int) -> None:
        """Applies a status that the instance has sent."""
        # The sender knows best; its wall clock may have been set back before it restarted.
        self.member = status.member
        self.status = status
        self.status_at_ms = now_ms
        if not status.is_leaving:
            self.leaving_since_ms = None
        elif self.leaving_since_ms is None:
            self.leaving_since_ms = now_ms
