"""Why opening packets were refused."""

import msgspec

from catkinspread.explain.log_index import LogIndex
from catkinspread.explain.log_lines import LogLine

# What each reason in a line `flow_refused` means; the values of `RejectionReason`.
DESCRIPTIONS = {
    "no_route": "no route has the service address",
    "no_upstream": "no upstream of the service takes new flows",
    "none_answers": "no upstream of the service answers",
    "all_cold": "all upstreams of the service are in cold start and at their rate",
    "no_room": "the service had too little room for the priority and the work of the route",
    "too_late": "the expected wait was longer than the caller waits for the answer",
}
# What the other reasons in a line `packet_dropped` mean.
DROP_DESCRIPTIONS = {
    "no_state": "the instance had not read the state of the deployment yet",
    "outdated_state": "the process had been paused, so that a refusal could be false",
    "earlier_flow": "the packet belongs to an earlier flow of the same ports",
    "unknown_token": "the flow is unknown and no upstream has the token of the packet",
    "unknown_flow": "no instance that answered knew the flow, and its token was old",
    "too_many_held": "too many packets waited for the answers of other instances",
}
_ROOM_REASONS = ("no_room", "too_late")
_DROP_EVENT = "packet_dropped"
_PERCENT = 100


class CallerUnknownError(Exception):
    """No line has a refused flow or a dropped packet of the caller."""


class RoomRefusalCount(msgspec.Struct, frozen=True):
    """Openings that were refused for lack of room.

    Attributes:
        service: Service that lacked room.
        priority: Priority of the routes.
        reason: Reason in the log line.
        count: Number of openings.
    """

    service: str
    priority: int | None
    reason: str
    count: int


def count_room_refusals(index: LogIndex) -> tuple[RoomRefusalCount, ...]:
    """Counts refusals for lack of room by service, priority and reason, the most frequent first."""
    return tuple(
        RoomRefusalCount(service, priority, reason, count)
        for (service, priority, reason), count in index.room_refusals.most_common()
    )


def describe_refusal(line: LogLine) -> str:
    """Returns what decided about a refused flow or a dropped packet, as one sentence."""
    known = {**DESCRIPTIONS, **DROP_DESCRIPTIONS}
    described = f"{line.reason}: {known.get(line.reason, 'the reason is not known here')}"
    if line.event == _DROP_EVENT and line.reason in _ROOM_REASONS:
        return f"{described}; not refused, because another instance may have sent the first copy on"
    if line.reason not in _ROOM_REASONS or line.share is None:
        return described
    occupancy = "no work slots" if line.occupancy is None else f"{line.occupancy:.2f} per work slot"
    return (
        f"{described}; service {line.service}, priority {line.priority}, "
        f"{line.share * _PERCENT:.1f}% of the callers of the route admitted, "
        f"requests in flight: {occupancy}"
    )


def format_caller_story(index: LogIndex, caller: str) -> str:
    """Returns the refused flows and dropped packets of a caller, each with what decided about it.

    Before a refusal for lack of room, the last change of admission of its service is listed.

    Args:
        index: Lines of all instances.
        caller: Address of the caller, with or without its port.

    Raises:
        CallerUnknownError: If no line has a refused flow or a dropped packet of the caller.
    """
    lines = []
    for line in index.lines:
        if line.event not in ("flow_refused", _DROP_EVENT) or not _is_flow_of(line.flow, caller):
            continue
        change = index.find_admission_change(line.instance, line.service, line.at_ms)
        if line.reason in _ROOM_REASONS and change is not None:
            lines.append(change.text)
        lines += [line.text, describe_refusal(line)]
    if not lines:
        raise CallerUnknownError(f"no line has a refused flow or a dropped packet of {caller!r}")
    return "\n".join(lines)


def _is_flow_of(flow: str, caller: str) -> bool:
    found = flow.partition(">")[0]
    return found == caller or found.partition(":")[0] == caller
