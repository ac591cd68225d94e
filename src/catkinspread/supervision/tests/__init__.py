"""Tests of catkinspread.supervision."""
