"""Periods and limits of the membership protocol."""

import math

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Periods and limits; with the defaults, each of 640 instances stays within about 3 KB/s.

    Each heartbeat is answered, so an instance sends and receives 8 messages per second. If all
    of them are full, as while a partition heals, they take 8 x (240 + 28) = 2,144 bytes/s with
    headers. Heartbeats to dead members add 357, urgent heartbeats 268 and synchronisation 245
    bytes/s, 3,014 bytes/s in total; the traffic of a single second can exceed this. Without
    membership changes the traffic is 500 bytes/s.

    Attributes:
        local_period_ms: Time between heartbeats to members of the same data centre.
        remote_period_ms: Time between heartbeats to other data centres.
        heartbeat_max_bytes: Maximum encoded size of a heartbeat, without the protocol version
            byte and the packet headers.
        page_max_bytes: Largest total of the records in a view page or sync reply.
        first_probe_timeout_ms: If a heartbeat is not answered within this time, its receiver is
            probed again, directly and through other members. Exceeds a round trip between regions.
        second_probe_timeout_ms: If the second probe is not answered within this time, the member
            is suspected.
        indirect_probes: Number of members that are asked to probe the target too.
        suspicion_ms: Time in which a suspect can refute before it is declared dead. With the
            defaults, an unresponsive member is declared dead 2,000 ms after the first heartbeat
            that it did not answer: the two probe timeouts and this time.
        urgent_fan_out: Number of random peers that are told immediately of a suspicion, death,
            refutation, leave or new configuration version. Reduces the time from the first to the
            last of 640 instances that learns of a death from 2.4 s to 0.5 s.
        urgent_burst: Capacity of the token bucket that limits urgent sends.
        urgent_refill_ms: Time to refill one token of that bucket; bounds the traffic when many
            instances fail together.
        dead_probe_period_ms: Time between heartbeats to a random dead member, which merge the
            views after a partition heals.
        join_period_ms: Time after which an unanswered join or view request is repeated.
        sync_period_ms: Minimum time between sync requests.
        stale_after_ms: If neither `tick` nor `handle` is called for longer than this, the instance
            was paused and its view is stale.
        forget_after_ms: Time after which a dead or left member is removed.
    """

    local_period_ms: int = 750
    remote_period_ms: int = 1_500
    heartbeat_max_bytes: int = 240
    page_max_bytes: int = 900
    first_probe_timeout_ms: int = 300
    second_probe_timeout_ms: int = 500
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
        """Returns how many times an instance sends an update.

        If every instance sends it k times, a fraction of about exp(-k) of them misses it.
        """
        return 3 + math.ceil(math.log2(member_count + 1))
