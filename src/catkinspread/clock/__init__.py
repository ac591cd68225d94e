"""The clock type of the project, in integer milliseconds."""

from catkinspread.clock.clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
