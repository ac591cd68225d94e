"""Reads the structured log lines of instances."""

from collections.abc import Iterable, Iterator

import msgspec


class LogLine(msgspec.Struct, frozen=True):
    """The fields of a log line that explain requests; the page on operations lists all of them.

    Attributes:
        at_ms: Time on the clock of the instance, in ms since the Unix epoch.
        instance: Name of the instance.
        event: Name of the event.
        request: Identifier of the request; empty if the line names none.
        flow: Both ends of the flow; empty if the line names none.
        upstream: Name of the upstream of the flow; empty if the line names none.
        name: Name of the record that changed; empty if the line is not about a record.
        reason: Reason of a refusal, drop or reset.
        detail: What changed in the record.
        service: Service that lacked room or whose admission changed; empty if the line names none.
        priority: Priority of the route of a flow that was refused for lack of room.
        share: Share of the callers of its route that was admitted then, 0 to 1.
        occupancy: Requests in flight per work slot then; None also if there were no work slots.
        text: The line as written.
    """

    at_ms: int
    instance: str
    event: str
    request: str = ""
    flow: str = ""
    upstream: str = ""
    name: str = ""
    reason: str = ""
    detail: str = ""
    service: str = ""
    priority: int | None = None
    share: float | None = None
    occupancy: float | None = None
    text: str = ""


_decoder = msgspec.json.Decoder(LogLine)


def read_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines among lines of text.

    Text in front of the JSON object, as log collectors add it, is ignored, and so are lines without
    a log line, for example of other programs.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        text = line[start:].strip()
        try:
            found = _decoder.decode(text)
        except msgspec.DecodeError:
            continue  # Another program wrote the line, or it is cut off.
        yield msgspec.structs.replace(found, text=text)
