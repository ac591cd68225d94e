"""Structured log lines on standard output."""

from catkinspread.eventlog.event_log import EventLog, LineWriter

__all__ = ["EventLog", "LineWriter"]
