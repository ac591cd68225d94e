"""Tests of catkinspread.deployment."""
