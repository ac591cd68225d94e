"""Packages whose names load with the first use."""

import subprocess
import sys

import pytest

from catkinspread import platform, runtime

# Modules that take most of the time to load; none is needed to open the packet socket.
_HEAVY = ("anyio", "httpcore", "h11")


def test_public_names_are_there() -> None:
    """Guards against a name in `__all__` whose module is gone."""
    for package in (platform, runtime):
        for name in package.__all__:
            assert getattr(package, name) is not None


def test_unknown_name_is_an_attribute_error() -> None:
    """Guards against `hasattr` and `from` imports that fail in another way."""
    with pytest.raises(AttributeError, match="no attribute 'nothing'"):
        _ = runtime.nothing


def test_program_loads_little_before_it_opens_its_socket() -> None:
    """Guards against packets that are lost while an instance that restarts loads its modules."""
    code = "import sys, catkinspread.runtime.main; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    assert not set(_HEAVY) & set(result.stdout.split())
