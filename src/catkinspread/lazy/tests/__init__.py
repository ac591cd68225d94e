"""Tests of lazy exports."""
