"""Clocks that return integer milliseconds since the Unix epoch."""

from catkinspread.clock.clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
