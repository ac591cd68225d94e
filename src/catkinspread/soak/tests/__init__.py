"""Tests of the soak: its checks, its proxy and a short run."""
