"""A whole deployment in one process that goes through planned changes and faults."""

from catkinspread.demo.checks import Check
from catkinspread.demo.scenario import run_demo
from catkinspread.demo.site import Site

__all__ = ["Check", "Site", "run_demo"]
