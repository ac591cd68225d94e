"""Tests of the flow routing."""
