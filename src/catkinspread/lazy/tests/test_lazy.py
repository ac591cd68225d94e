"""Tests of packages with lazily imported names."""

import subprocess
import sys

import pytest

from catkinspread import admission, platform, runtime

# Modules that account for most of the import time; opening the packet socket needs none of them.
_SLOW_MODULES = ("anyio", "httpcore", "h11")


def test_all_public_names_can_be_imported() -> None:
    """Guards against a name in `__all__` whose module does not exist or does not define it."""
    for package in (admission, platform, runtime):
        for name in package.__all__:
            assert getattr(package, name) is not None


def test_unknown_name_raises_attribute_error() -> None:
    """Guards against `hasattr` and `from` imports that raise an unexpected exception."""
    with pytest.raises(AttributeError, match="no attribute 'nothing'"):
        _ = runtime.nothing


def test_slow_modules_are_not_imported_with_the_main_module() -> None:
    """Guards against packets that are lost while a restarting instance imports its modules."""
    code = "import sys, catkinspread.runtime.main; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    assert not set(_SLOW_MODULES) & set(result.stdout.split())
