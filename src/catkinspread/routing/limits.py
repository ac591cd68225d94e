"""Time-outs and limits of the flow routing."""

import msgspec


class RoutingLimits(msgspec.Struct, frozen=True):
    """Time-outs, intervals and limits, which must be the same on all instances.

    Attributes:
        hold_min_ms: Minimum duration of HOLD. During it, retransmitted or delayed opens, and
            packets through instances that have just joined, still reach the old upstream.
        hold_max_ms: Maximum duration of HOLD, after which it ends even if a live instance has
            not reported the version. A draining upstream must get no new flows after 5 s, so
            this time plus a clock skew of 500 ms must be less than 5 s.
        flow_idle_timeout_ms: A flow without packets for this long is considered ended.
        close_linger_ms: A pin is kept for this long after the close, for delayed packets and for
            retries of a copy of a request that the close overtook. It must be longer than the
            time from the first to the last attempt of an idempotent request, otherwise the last
            one is sent to the base upstream, which does not hold the flow.
        pause_threshold_ms: If the event loop pauses for longer, the instance routes nothing
            before its next contact with a peer or the platform.
        join_wait_ms: Time from the first contact, after a start or a pause, until packets are
            routed. It is meant to cover two heartbeats, within which the others learn of this
            instance, and this instance learns whether the peer from which it fetched the
            configuration had an outdated version.
        catch_up_window_ms: Time from the first contact within which no packet is routed while
            any live instance has reported a later version. It equals `hold_max_ms`: in the
            transitions of later entries, HOLD lasts until this instance has reported.
        contact_timeout_ms: Without contact for this long an instance stops routing, because the
            endpoints of upstreams may have been reassigned to other services.
        transition_check_interval_ms: Minimum time between two checks of the transitions, which
            are made in `SlotRouter.tick`. New pins are sent at every tick.
        replication_retry_ms: Unacknowledged messages are retransmitted after this time.
        buffered_packet_timeout_ms: Buffered packets of a flow are dropped if its pin has not been
            acknowledged within this time after the last packet.
        uncertain_max_ms: How long a successor that takes over waits for an entry that the previous
            acting member may have written. It must not be less than the time within which an
            entry is applied on all instances, which is at most 5 s.
        regroup_delay_ms: How long a member of an owner group must be missing before it is replaced.
        append_retry_ms: An entry that has not been applied is requested again after this time.
        forward_hops_max: Maximum number of times that a packet is forwarded.
        pins_max: Maximum number of pins on an instance; 1,000,000 take about 130 MB.
        pending_pins_max: Maximum number of flows whose pins wait for acknowledgement.
        exceptions_max: Maximum number of exceptions of a service; at 8 bytes each they take
            0.5 MB.
        listed_flows_max: Maximum number of exceptions in one entry; 50,000 take 450 KB of the
            1 MB limit of a log entry.
        copy_flows_max: Maximum number of flows in one message that copies or removes pins.
    """

    hold_min_ms: int = 1_000
    hold_max_ms: int = 4_000
    flow_idle_timeout_ms: int = 300_000
    close_linger_ms: int = 3_000
    pause_threshold_ms: int = 2_000
    join_wait_ms: int = 1_000
    catch_up_window_ms: int = 4_000
    contact_timeout_ms: int = 3_600_000
    transition_check_interval_ms: int = 50
    replication_retry_ms: int = 100
    buffered_packet_timeout_ms: int = 2_000
    uncertain_max_ms: int = 5_000
    regroup_delay_ms: int = 1_000
    append_retry_ms: int = 2_000
    forward_hops_max: int = 3
    pins_max: int = 500_000
    pending_pins_max: int = 10_000
    exceptions_max: int = 65_536
    listed_flows_max: int = 50_000
    copy_flows_max: int = 100
