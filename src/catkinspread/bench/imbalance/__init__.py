"""Bench `imbalance`: load per upstream, the cold start cap, and priorities under overload."""

from catkinspread.bench.imbalance.report import run_imbalance

__all__ = ["run_imbalance"]
