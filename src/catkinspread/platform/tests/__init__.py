"""Tests of catkinspread.platform."""
