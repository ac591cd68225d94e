"""Tests of the build line of `deploy/system.toml`, offline and with a small package of their own."""

import ast
import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tomllib
import zipfile

import pytest

from catkinspread.runtime.source_digest import DIGEST_NAME, UNBUILT, read_source_digest

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
    record = "".join(f"{name},,{len(content)}\n" for name, content in files.items())
    record += f"{info}/RECORD,,\n"
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

    def check(self) -> subprocess.CompletedProcess[str]:
        return self._run("python3 deploy/build.py --check")

    def build(self) -> subprocess.CompletedProcess[str]:
        return self._run(tomllib.loads((self.root / "deploy/system.toml").read_text())["build"])

    def _run(self, line: str) -> subprocess.CompletedProcess[str]:
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


def test_complete_folder_is_kept(checkout: Checkout) -> None:
    """Guards against a build that needs the network although nothing has changed."""
    checkout.build_successfully()
    before = checkout.dependencies.stat()
    checkout.build_successfully()
    assert checkout.dependencies.stat().st_ino == before.st_ino
    assert sorted(path.name for path in (checkout.root / "target").iterdir()) == ["app", "deps"]


def test_check_tells_a_program_of_other_source(checkout: Checkout) -> None:
    """Guards against runs of an earlier build that are taken for runs of the checkout."""
    assert checkout.check().returncode == 1  # Nothing is built.
    checkout.build_successfully()
    assert checkout.check().returncode == 0
    module = checkout.root / "src" / "catkinspread" / "__init__.py"
    module.write_text("CHANGED = True\n")
    changed = checkout.check()
    assert changed.returncode == 1
    assert read_source_digest(checkout.root / "target" / "app") in changed.stdout
    checkout.build_successfully()
    assert checkout.check().returncode == 0


def test_folder_of_a_build_without_a_digest_is_told(checkout: Checkout) -> None:
    """Guards against a folder of a version that wrote no digest, which was carried over."""
    checkout.build_successfully()
    program = checkout.root / "target" / "app"
    (program / DIGEST_NAME).unlink()
    assert checkout.check().returncode == 1
    assert read_source_digest(program) == UNBUILT


def test_digest_depends_on_the_source_alone(checkout: Checkout) -> None:
    """Guards against digests that differ between two machines with the same source."""
    checkout.build_successfully()
    program = checkout.root / "target" / "app"
    before = read_source_digest(program)
    caches = checkout.root / "src" / "catkinspread" / "__pycache__"
    caches.mkdir(exist_ok=True)
    (caches / "other.pyc").write_text("other")
    os.utime(checkout.root / "deploy" / "instance.py", (0, 0))
    checkout.build_successfully()
    assert read_source_digest(program) == before


def test_folder_of_another_platform_is_replaced(checkout: Checkout) -> None:
    """Guards against extension modules for another processor or version of Python."""
    checkout.build_successfully()
    stamp = checkout.dependencies / ".complete"
    complete = stamp.read_text()
    for other in (
        complete.replace(sysconfig.get_platform(), "linux-riscv64"),
        complete.replace(f"python {sys.version_info.major}.{sys.version_info.minor}", "python 3.2"),
        "",
    ):
        assert other != complete
        stamp.write_text(other)
        (checkout.dependencies / "other.so").write_text("")
        checkout.build_successfully()
        assert stamp.read_text() == complete
        assert not (checkout.dependencies / "other.so").exists()


def test_changed_requirements_are_installed(checkout: Checkout) -> None:
    """Guards against dependencies of an earlier version of the program."""
    checkout.build_successfully()
    checkout.require("2.0")
    checkout.build_successfully()
    assert "2.0" in checkout.read_installed()


def test_incomplete_copy_of_a_complete_folder_is_replaced(checkout: Checkout) -> None:
    """Guards against a folder that lost files while it was copied, but has its stamp."""
    checkout.build_successfully()
    complete = checkout.read_installed()
    (checkout.dependencies / "dependency.py").unlink()
    checkout.build_successfully()
    assert checkout.read_installed() == complete


def test_file_that_was_cut_off_is_replaced(checkout: Checkout) -> None:
    """Guards against a program that ends by SIGBUS, because an extension module is incomplete."""
    checkout.build_successfully()
    complete = checkout.read_installed()
    (checkout.dependencies / "dependency.py").write_text(complete[:-2])
    checkout.build_successfully()
    assert checkout.read_installed() == complete


def test_failed_installation_keeps_the_folder_and_says_so(checkout: Checkout) -> None:
    """Guards against a build that removes working dependencies, or fails without a reason."""
    checkout.build_successfully()
    (checkout.root / "deploy" / "requirements.txt").write_text("no-such-package==1\n")
    result = checkout.build()
    assert result.returncode == 1
    assert result.stderr.splitlines()[-1].startswith("build failed: pip could not install")
    assert checkout.read_installed()


def test_older_python_is_refused_in_one_line(checkout: Checkout) -> None:
    """Guards against a traceback where `python3` is older than the program needs."""
    result = subprocess.run(
        [
            sys.executable,
            "-c",
            "import runpy, sys; sys.version_info = (3, 9, 1, 'final', 0);"
            " runpy.run_path('deploy/build.py', run_name='__main__')",
        ],
        cwd=checkout.root,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 1
    (line,) = result.stderr.splitlines()
    assert line.startswith("build failed: Python 3.11 or later is required")


def test_build_script_can_be_parsed_by_older_python() -> None:
    """Guards against a syntax error in place of the line about the version of Python."""
    for name in ("build.py", "instance.py"):
        ast.parse((_REPOSITORY / "deploy" / name).read_text(), feature_version=(3, 6))


def test_requirements_are_the_locked_versions() -> None:
    """Guards against a program that runs with other versions than those it was tested with."""
    locked = (_REPOSITORY / "requirements.lock").read_text().splitlines()
    lines = (_REPOSITORY / "deploy" / "requirements.txt").read_text().splitlines()
    pinned = [line for line in lines if not line.startswith("#")]
    assert pinned
    assert set(pinned) <= set(locked)
