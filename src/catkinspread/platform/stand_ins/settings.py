"""How the platform starts an instance."""

from catkinspread.platform.readiness import READINESS_PATH
from catkinspread.platform.settings import SETTINGS_VARIABLE

__all__ = ["READINESS_PATH", "build_environment"]


def build_environment(settings_path: str) -> dict[str, str]:
    """Returns the environment of an instance that reads a settings file."""
    return {SETTINGS_VARIABLE: settings_path}
