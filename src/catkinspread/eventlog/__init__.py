"""Structured JSON log on standard output."""

from catkinspread.eventlog.event_log import EventLog, LineSink, LineWriter

__all__ = ["EventLog", "LineSink", "LineWriter"]
