"""Replies to statements, as a table and as JSON."""

import datetime

import msgspec

from catkinspread.operations.errors import OperationsError

Cell = str | int


class Reply(msgspec.Struct, frozen=True):
    """The answer to a statement.

    Attributes:
        version: Version of the configuration that it is based on.
        columns: Names of the columns.
        rows: One cell per column.
        notes: Sentences below the table.
    """

    version: int
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Cell, ...], ...] = ()
    notes: tuple[str, ...] = ()


def render_table(reply: Reply) -> str:
    """Returns a reply as text with aligned columns; numbers are aligned to the right."""
    lines: list[str] = []
    if reply.columns:
        table = [reply.columns, *reply.rows]
        widths = [max(len(_clean(row[i])) for row in table) for i in range(len(reply.columns))]
        lines.append(_join(reply.columns, widths))
        lines.append("  ".join("-" * width for width in widths))
        lines.extend(_join(row, widths) for row in reply.rows)
        if not reply.rows:
            lines.append("(none)")
    lines.extend(_clean(note) for note in reply.notes)
    lines.append(f"version {reply.version}")
    return "\n".join(lines) + "\n"


def render_json(reply: Reply) -> str:
    """Returns a reply as JSON; each row is an object with the columns as keys."""
    rows = [dict(zip(reply.columns, row, strict=True)) for row in reply.rows]
    document = {"version": reply.version, "rows": rows, "notes": reply.notes}
    return msgspec.json.encode(document).decode()


def render_error(error: OperationsError) -> str:
    """Returns an error as a line of text."""
    return f"error: {_clean(error.message)}\n"


def render_error_json(error: OperationsError) -> str:
    """Returns an error as JSON; the key "type" holds its kind."""
    return msgspec.json.encode({"error": error}).decode()


def format_time(time_ms: int) -> str:
    """Returns a time in ms since the epoch as UTC in ISO 8601."""
    try:
        moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return f"{time_ms} ms"
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _join(row: tuple[Cell, ...], widths: list[int]) -> str:
    cells = [
        _clean(cell).rjust(width) if isinstance(cell, int) else _clean(cell).ljust(width)
        for cell, width in zip(row, widths, strict=True)
    ]
    return "  ".join(cells).rstrip()


def _clean(cell: Cell) -> str:
    """Replaces characters that would move the cursor of a terminal or break a line."""
    return "".join(char if char.isprintable() else "?" for char in str(cell))
