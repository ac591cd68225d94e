"""Builds the forwarding program under `target`: its dependencies and a compiled copy of the source.

`target/deps` is installed anew unless a stamp in it shows that it was completed for this platform,
this version of Python and these requirements. The program is copied anew at each build. Both are
prepared in a folder beside the final one and renamed at the end, so an interrupted build leaves
nothing that looks complete.

The module uses only syntax that older versions of Python can read, so that they get to the check of
the version.
"""

import compileall
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig

PYTHON_MIN = (3, 11)  # `requires-python` of pyproject.toml
EXIT_FAILED = 1
STAMP_NAME = ".complete"

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
_DEPLOY = os.path.join(_ROOT, "deploy")
_REQUIREMENTS = os.path.join(_DEPLOY, "requirements.txt")
_DEPENDENCIES = os.path.join(_ROOT, "target", "deps")
_PROGRAM = os.path.join(_ROOT, "target", "app")


class BuildFailed(Exception):
    """The build cannot be completed."""


def main():
    """Runs the build and returns its exit status."""
    try:
        check_python_version()
        os.makedirs(os.path.join(_ROOT, "target"), exist_ok=True)
        install_dependencies()
        copy_program()
    except (BuildFailed, OSError) as error:
        print(f"build failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def check_python_version():
    """Raises BuildFailed if this Python is too old to run the program."""
    if sys.version_info < PYTHON_MIN:
        raise BuildFailed(
            "Python {}.{} or later is required, but {} is {}.{}".format(
                *PYTHON_MIN, sys.executable, *sys.version_info[:2]
            )
        )


def install_dependencies():
    """Installs the requirements into `target/deps` unless they are complete already."""
    stamp = describe_installation()
    missing = find_missing_file(_DEPENDENCIES)
    if missing is None and read_stamp(_DEPENDENCIES) == stamp:
        return
    prepared = _DEPENDENCIES + ".new"
    remove(prepared)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
    command += ["--target", prepared, "--requirement", _REQUIREMENTS]
    if subprocess.call(command) != 0:
        raise BuildFailed(f"pip could not install {_REQUIREMENTS} (see its output)")
    missing = find_missing_file(prepared)
    if missing is not None:
        raise BuildFailed(f"pip did not install {missing}")
    # Written last: a folder without the stamp is not complete.
    with open(os.path.join(prepared, STAMP_NAME), "w", encoding="utf-8") as file:
        file.write(stamp)
    replace(prepared, _DEPENDENCIES)


def describe_installation():
    """Returns the content of the stamp: what an installation depends on."""
    with open(_REQUIREMENTS, "rb") as file:
        digest = hashlib.sha256(file.read()).hexdigest()
    # The suffix of extension modules names version and ABI of Python, processor and C library.
    return "platform {}\npython {}.{} {}\nrequirements {}\n".format(
        sysconfig.get_platform(),
        *sys.version_info[:2],
        sysconfig.get_config_var("EXT_SUFFIX"),
        digest,
    )


def read_stamp(folder):
    """Returns the stamp of a folder; None if it has none."""
    try:
        with open(os.path.join(folder, STAMP_NAME), encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError):
        return None


def find_missing_file(folder):
    """Returns the first file of the installed packages that is absent or cut off; None if none is.

    A complete folder may have been copied incompletely to another machine.
    """
    from importlib import metadata  # Python 3.8 and later

    for package in metadata.distributions(path=[folder]):
        for entry in package.files or ():
            # Scripts are recorded outside of the folder, and compiled files may be written again.
            if entry.parts[0] == ".." or "__pycache__" in entry.parts:
                continue
            path = os.path.join(folder, str(entry))
            if not os.path.isfile(path):
                return path
            if entry.size is not None and os.path.getsize(path) != entry.size:
                return path
    return None


def copy_program():
    """Copies the source and the entry point to `target/app`, compiled.

    Instances cannot write compiled modules themselves.
    """
    prepared = _PROGRAM + ".new"
    remove(prepared)
    shutil.copytree(
        os.path.join(_ROOT, "src", "catkinspread"),
        os.path.join(prepared, "catkinspread"),
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    shutil.copy2(os.path.join(_DEPLOY, "instance.py"), prepared)
    # Tracebacks show the final folder.
    if not compileall.compile_dir(prepared, quiet=1, stripdir=prepared, prependdir=_PROGRAM):
        raise BuildFailed(f"a module of {prepared} could not be compiled")
    replace(prepared, _PROGRAM)


def replace(prepared, final):
    """Renames a prepared folder to its final name, in place of what is there."""
    old = final + ".old"
    remove(old)
    if os.path.lexists(final):
        os.rename(final, old)
    os.rename(prepared, final)
    remove(old)


def remove(path):
    """Removes a folder, file or link, if there is one."""
    if os.path.isdir(path) and not os.path.islink(path):
        shutil.rmtree(path)
    elif os.path.lexists(path):
        os.remove(path)


if __name__ == "__main__":
    sys.exit(main())
