"""Structured JSON log on standard output."""

from catkinspread.eventlog.event_log import EventLog, FileDescriptorSink, LineSink

__all__ = ["EventLog", "FileDescriptorSink", "LineSink"]
