"""Lazy import of the public names of a package.

A package that exports its names lazily can be imported without loading all of its modules. This
shortens the start of a process that has to open its socket early.
"""

import importlib
from collections.abc import Callable, Mapping

__all__ = ["export_lazily"]


def export_lazily(package: str, modules: Mapping[str, str]) -> Callable[[str], object]:
    """Returns a module-level `__getattr__` (PEP 562) that imports public names on first access.

    Args:
        package: Full name of the package.
        modules: Name of the submodule that defines each public name, by public name.
    """

    def get_attribute(name: str) -> object:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return get_attribute
