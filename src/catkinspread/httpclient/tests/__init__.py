"""Tests of catkinspread.httpclient."""
