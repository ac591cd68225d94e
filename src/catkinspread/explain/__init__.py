"""Explains failed requests from the log lines of the instances."""

from catkinspread.explain.causes import find_cause, list_causes
from catkinspread.explain.log_index import LogIndex, RequestTrace
from catkinspread.explain.log_lines import LogLine, read_log_lines
from catkinspread.explain.refusals import (
    CallerUnknownError,
    RoomRefusalCount,
    describe_refusal,
    format_caller_story,
)
from catkinspread.explain.report import CauseCount, FailureReport, build_report, format_report
from catkinspread.explain.request_story import format_request_story

__all__ = [
    "CallerUnknownError",
    "CauseCount",
    "FailureReport",
    "LogIndex",
    "LogLine",
    "RequestTrace",
    "RoomRefusalCount",
    "build_report",
    "describe_refusal",
    "find_cause",
    "format_caller_story",
    "format_report",
    "format_request_story",
    "list_causes",
    "read_log_lines",
]
