"""Slopes of measured figures."""

from collections.abc import Sequence


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Returns the slope of the least-squares line through points (size, value)."""
    size_mean = sum(sizes) / len(sizes)
    value_mean = sum(values) / len(values)
    covariance = sum((s - size_mean) * (v - value_mean) for s, v in zip(sizes, values, strict=True))
    return covariance / sum((size - size_mean) ** 2 for size in sizes)
