"""Tests of catkinspread.ini."""
