"""Tests of the frame codec."""
