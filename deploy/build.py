"""Builds the forwarding program under `target`: its dependencies and a compiled copy of the source.

`target/deps` is installed anew unless a stamp in it shows that it was completed for this platform,
this version of Python and these requirements. The program is copied anew at each build. Both are
prepared in a folder beside the final one and renamed at the end, so an interrupted build leaves
nothing that looks complete.

The copy holds a digest of the source, which the program writes into its log. With `--check` nothing
is built; the exit status is 1 if `target/app` was built from other source than that of the checkout.

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
DIGEST_NAME = "source-digest"  # Read by `catkinspread.runtime.source_digest`.
DIGEST_DIGITS = 16
CHECK_OPTION = "--check"

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
_DEPLOY = os.path.join(_ROOT, "deploy")
_REQUIREMENTS = os.path.join(_DEPLOY, "requirements.txt")
_DEPENDENCIES = os.path.join(_ROOT, "target", "deps")
_PROGRAM = os.path.join(_ROOT, "target", "app")
_PACKAGE = os.path.join(_ROOT, "src", "catkinspread")
_ENTRY_POINT = os.path.join(_DEPLOY, "instance.py")


class BuildFailed(Exception):
    """The build cannot be completed."""


def main(arguments):
    """Runs the build, or the check, and returns the exit status."""
    try:
        if CHECK_OPTION in arguments:
            return check_program()
        check_python_version()
        os.makedirs(os.path.join(_ROOT, "target"), exist_ok=True)
        install_dependencies()
        copy_program()
    except (BuildFailed, OSError) as error:
        print(f"build failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def check_program():
    """Prints of which source `target/app` is a copy, and returns 1 unless it is that of the checkout."""
    wanted = compute_source_digest()
    built = read_text(os.path.join(_PROGRAM, DIGEST_NAME)) or "unknown"
    if built.strip() == wanted:
        print(f"target/app was built from this source ({wanted})")
        return 0
    print(f"target/app was built from other source ({built.strip()}) than this one ({wanted})")
    return EXIT_FAILED


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
    return read_text(os.path.join(folder, STAMP_NAME))


def read_text(path):
    """Returns the content of a small file; None if it cannot be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError):
        return None


def compute_source_digest():
    """Returns the digest of the files that `copy_program` copies, with their names."""
    files = {"instance.py": _ENTRY_POINT}
    for folder, subfolders, names in os.walk(_PACKAGE):
        subfolders[:] = [name for name in subfolders if name != "__pycache__"]
        for name in names:
            path = os.path.join(folder, name)
            files[os.path.relpath(path, os.path.dirname(_PACKAGE)).replace(os.sep, "/")] = path
    digest = hashlib.sha256()
    for name in sorted(files):
        with open(files[name], "rb") as file:
            content = hashlib.sha256(file.read()).hexdigest()
        digest.update(f"{name} {content}\n".encode())
    return digest.hexdigest()[:DIGEST_DIGITS]


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
        _PACKAGE,
        os.path.join(prepared, "catkinspread"),
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    shutil.copy2(_ENTRY_POINT, prepared)
    digest = compute_source_digest()
    with open(os.path.join(prepared, DIGEST_NAME), "w", encoding="utf-8") as file:
        file.write(f"{digest}\n")
    # Tracebacks show the final folder.
    if not compileall.compile_dir(prepared, quiet=1, stripdir=prepared, prependdir=_PROGRAM):
        raise BuildFailed(f"a module of {prepared} could not be compiled")
    replace(prepared, _PROGRAM)
    print(f"built target/app from source {digest}")


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
    sys.exit(main(sys.argv[1:]))
