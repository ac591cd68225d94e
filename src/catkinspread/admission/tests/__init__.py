"""Tests of catkinspread.admission."""
