"""Lazy import of the public names of a package.

A package that exports its names lazily can be imported without loading all of its modules. This
lets the main module open the packet socket before the modules that take longest to import are
loaded, so that packets that arrive in the meantime are queued instead of lost.
"""

import importlib
from collections.abc import Callable, Mapping

__all__ = ["export_lazily"]


def export_lazily(package: str, modules: Mapping[str, str]) -> Callable[[str], object]:
    """Returns a module-level `__getattr__` (PEP 562) that imports public names on access.

    The result is not cached in the package; each access looks the module up in `sys.modules`.

    Args:
        package: Full name of the package.
        modules: Name of the submodule that defines each public name, by public name.
    """

    def get_attribute(name: str) -> object:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return get_attribute
