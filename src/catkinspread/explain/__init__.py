"""Explains failed requests from the log lines of the instances."""

from catkinspread.explain.causes import find_cause, list_causes
from catkinspread.explain.log_index import LogIndex, RequestTrace
from catkinspread.explain.log_lines import LogLine, read_log_lines
from catkinspread.explain.report import CauseCount, FailureReport, build_report, format_report
from catkinspread.explain.request_story import format_request_story

__all__ = [
    "CauseCount",
    "FailureReport",
    "LogIndex",
    "LogLine",
    "RequestTrace",
    "build_report",
    "find_cause",
    "format_report",
    "format_request_story",
    "list_causes",
    "read_log_lines",
]
