"""Tests of the build line of `deploy/system.toml`, offline and with a small package of their own."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib
import zipfile

import pytest

_REPOSITORY = pathlib.Path(__file__).resolve().parents[4]
_PACKAGE_VERSION = "1.0"
_TIMEOUT_S = 120


def _write_wheel(directory: pathlib.Path, version: str) -> pathlib.Path:
    wheel = directory / f"dependency-{version}-py3-none-any.whl"
    info = f"dependency-{version}.dist-info"
    files = {
        "dependency.py": f"VERSION = {version!r}\n",
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: dependency\nVersion: {version}\n",
        f"{info}/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = "".join(f"{name},,\n" for name in [*files, f"{info}/RECORD"])
    with zipfile.ZipFile(wheel, "w") as archive:
        for name, content in {**files, f"{info}/RECORD": record}.items():
            archive.writestr(name, content)
    return wheel


class Checkout:
    """A checkout with the real `deploy` folder and one dependency, which is a local wheel.

    Attributes:
        root: The folder of the checkout.
        dependencies: The folder that the build fills.
    """

    def __init__(self, root: pathlib.Path) -> None:
        self.root = root
        self.dependencies = root / "target" / "deps"
        shutil.copytree(_REPOSITORY / "deploy", root / "deploy")
        package = root / "src" / "catkinspread"
        package.mkdir(parents=True)
        (package / "__init__.py").write_text("")
        self.require(_PACKAGE_VERSION)

    def require(self, version: str) -> None:
        wheel = _write_wheel(self.root, version)
        requirements = self.root / "deploy" / "requirements.txt"
        requirements.write_text(f"{wheel}\n")
        # An old checkout, so that each folder under `target` is newer.
        os.utime(requirements, (0, 0))

    def build(self) -> subprocess.CompletedProcess[str]:
        line = tomllib.loads((self.root / "deploy" / "system.toml").read_text())["build"]
        path = os.pathsep.join((os.path.dirname(sys.executable), os.environ.get("PATH", "")))
        return subprocess.run(
            ["sh", "-c", line],
            cwd=self.root,
            env={"PATH": path, "HOME": str(self.root), "PIP_NO_INDEX": "1"},
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )

    def build_successfully(self) -> None:
        result = self.build()
        assert result.returncode == 0, result.stderr

    def read_installed(self) -> str:
        return (self.dependencies / "dependency.py").read_text()


@pytest.fixture(name="checkout")
def _make_checkout(tmp_path: pathlib.Path) -> Checkout:
    return Checkout(tmp_path)


def test_folder_of_an_interrupted_installation_is_replaced(checkout: Checkout) -> None:
    """Guards against a program that does not load because a part of its dependencies is missing."""
    (checkout.dependencies / "some_package").mkdir(parents=True)
    checkout.build_successfully()
    assert checkout.read_installed()
