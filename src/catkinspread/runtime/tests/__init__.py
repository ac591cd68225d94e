"""Tests of catkinspread.runtime."""
