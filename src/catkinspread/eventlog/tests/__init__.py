"""Tests of catkinspread.eventlog."""
