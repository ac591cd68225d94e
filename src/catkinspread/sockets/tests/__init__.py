"""Tests of the sockets."""
