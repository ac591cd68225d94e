"""The command-line program `catkinspread`."""

from catkinspread.console.main import main

__all__ = ["main"]
