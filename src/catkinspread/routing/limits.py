"""Times and limits of the flow routing."""

import msgspec


class RoutingLimits(msgspec.Struct, frozen=True):
    """Times in ms and limits; all instances use the same.

    Attributes:
        hold_min_ms: HOLD lasts at least this long, so that repeated or delayed opens and
            instances that have just joined are still answered by the base.
        hold_max_ms: HOLD ends after this time even if a live member has not reported the
            version. With clocks 500 ms apart, new flows leave a draining upstream in 5 s.
        flow_idle_timeout_ms: A flow that is silent for longer has ended.
        close_linger_ms: A pin is kept for this time after the close, for delayed packets.
        pause_threshold_ms: A pause of the event loop after which nothing is routed before one
            exchange.
        join_wait_ms: Time from the first exchange, also after a pause, until packets are routed.
            It covers two heartbeats: the others learn of this instance, and this instance
            learns whether the peer that it pulled from is behind.
        catch_up_window_ms: Time from the first exchange in which no packet is routed while any live
            instance has a later version. It equals the longest HOLD: for later entries the
            owners wait until this instance has reported.
        contact_timeout_ms: Without contact for this long an instance stops routing, because
            endpoints may belong to other services then.
        step_interval_ms: Time between two looks at the transitions; new pins are sent at every tick.
        replication_retry_ms: Unacknowledged messages are sent again after this time.
        pin_wait_max_ms: A held packet is dropped after this time.
        uncertain_max_ms: How long a successor waits for an entry that its predecessor may have
            written. It equals the time within which an entry is in force everywhere.
        regroup_delay_ms: How long a member must be missing before it is replaced.
        append_retry_ms: An entry that did not show up is asked for again after this time.
        forward_hops_max: How often a packet may be forwarded.
        pins_max: Pins that an instance keeps; 1,000,000 take about 130 MB.
        pending_max: Flows whose pins wait for acknowledgement.
        exceptions_max: Exceptions of one service; at 8 bytes they take 0.5 MB.
        listed_flows_max: Exceptions in one entry; 50,000 take 450 KB of at most 1 MB.
        copy_flows_max: Flows in one message that copies pins.
    """

    hold_min_ms: int = 1_000
    hold_max_ms: int = 4_000
    flow_idle_timeout_ms: int = 300_000
    close_linger_ms: int = 2_000
    pause_threshold_ms: int = 2_000
    join_wait_ms: int = 1_000
    catch_up_window_ms: int = 4_000
    contact_timeout_ms: int = 3_600_000
    step_interval_ms: int = 50
    replication_retry_ms: int = 100
    pin_wait_max_ms: int = 2_000
    uncertain_max_ms: int = 5_000
    regroup_delay_ms: int = 1_000
    append_retry_ms: int = 2_000
    forward_hops_max: int = 3
    pins_max: int = 500_000
    pending_max: int = 10_000
    exceptions_max: int = 65_536
    listed_flows_max: int = 50_000
    copy_flows_max: int = 100
