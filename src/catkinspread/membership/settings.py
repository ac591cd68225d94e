"""Periods and limits of membership."""

import math

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Periods and limits; the defaults keep 640 instances within 3 KB/s each.

    Each heartbeat is replied to, so an instance sends and receives 8 messages a second. When
    all are full, as while a partition heals, these take 8 x (240 + 28) = 2,144 bytes/s with
    headers, heartbeats to dead members 357, urgent ones 268 and synchronisation 245,
    in sum 3,014 bytes/s; single seconds exceed it. Quiet traffic is 500 bytes/s.

    Attributes:
        local_period_ms: Time between heartbeats to the own data centre.
        remote_period_ms: Time between heartbeats to other data centres.
        heartbeat_max_bytes: Largest heartbeat, without headers.
        page_max_bytes: Largest view page and sync reply, without headers.
        reply_timeout_ms: A heartbeat without a reply for this long is probed again, directly
            and through others. It exceeds a round trip between regions.
        probe_timeout_ms: A second probe without a reply for this long makes a suspect.
        indirect_probes: How many members are asked to probe.
        suspicion_ms: Time from suspicion to death. With the two timeouts above it makes 2,000 ms
            of failed probes.
        urgent_fan_out: How many random peers get news of a suspicion, death, refutation or
            leave at once. Without this, the last of 640 instances knew a death 2.4 s after the first
            one instead of 0.5 s.
        urgent_burst: How many times in a row that is allowed.
        urgent_refill_ms: Time until it is allowed once more; bounds the bytes when many
            instances fail together.
        dead_probe_period_ms: Time between heartbeats to a random dead member; they join the
            views again when a partition heals.
        join_period_ms: Time between join and view requests without an answer.
        sync_period_ms: Least time between sync requests.
        stale_after_ms: A gap in the loop longer than this makes the instance stale.
        forget_after_ms: A dead or left member is forgotten after this long.
    """

    local_period_ms: int = 750
    remote_period_ms: int = 1_500
    heartbeat_max_bytes: int = 240
    page_max_bytes: int = 900
    reply_timeout_ms: int = 300
    probe_timeout_ms: int = 500
    indirect_probes: int = 2
    suspicion_ms: int = 1_200
    urgent_fan_out: int = 2
    urgent_burst: int = 2
    urgent_refill_ms: int = 8_000
    dead_probe_period_ms: int = 3_000
    join_period_ms: int = 500
    sync_period_ms: int = 10_000
    stale_after_ms: int = 2_000
    forget_after_ms: int = 3_600_000

    def compute_send_limit(self, member_count: int) -> int:
        """Returns how often an instance passes on an update.

        With k sends by every instance a share of about exp(-k) of them misses the update.
        """
        return 3 + math.ceil(math.log2(member_count + 1))
