"""A layer-4 load balancer whose instances agree on every flow without copying flow state."""

__all__ = ["__version__"]

__version__ = "0.1.0"
