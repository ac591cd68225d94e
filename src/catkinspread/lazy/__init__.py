"""Public names of a package that load their module with the first use.

A program that must be ready early imports a package without all that the package offers.
"""

import importlib
from collections.abc import Callable, Mapping

__all__ = ["export_lazily"]


def export_lazily(package: str, modules: Mapping[str, str]) -> Callable[[str], object]:
    """Returns the `__getattr__` of a package (PEP 562).

    Args:
        package: Name of the package.
        modules: Module of the package by public name.
    """

    def get_attribute(name: str) -> object:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return get_attribute
