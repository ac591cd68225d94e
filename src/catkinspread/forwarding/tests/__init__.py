"""Tests of catkinspread.forwarding."""
