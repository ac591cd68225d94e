"""Tests of catkinspread.peers."""
