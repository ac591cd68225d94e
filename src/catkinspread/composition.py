"""Composition root: creates an instance and its dependencies from a settings file."""

import pathlib
import signal

import anyio
import msgspec
from expression import Error, Ok, Result

from catkinspread.clock import SystemClock
from catkinspread.instance import Instance
from catkinspread.objectstore import HttpInstanceRegistry, HttpObjectStore
from catkinspread.operations import AccessList, read_access_list
from catkinspread.settings import (
    InstanceSettings,
    SettingsError,
    SettingsProblem,
    load_ini_file,
    read_instance_settings,
)


class InstanceFile(msgspec.Struct, frozen=True):
    """Content of a valid settings file.

    Attributes:
        settings: Settings of the instance.
        access: Access tokens and roles of the operators.
    """

    settings: InstanceSettings
    access: AccessList


def load_instance_file(path: str | pathlib.Path) -> Result[InstanceFile, SettingsError]:
    """Reads and validates a settings file, including its access tokens.

    Returns:
        The content, or an error with the problems found.
    """
    file = str(path)
    parsed = load_ini_file(path)
    if parsed.is_error():
        return Error(parsed.error)
    loaded = read_instance_settings(file, parsed.ok)
    if loaded.is_error():
        return Error(loaded.error)
    access = read_access_list(parsed.ok)
    if access.is_error():
        problem = SettingsProblem(file, "", "", "", access.error.message)
        return Error(SettingsError((problem,)))
    return Ok(InstanceFile(loaded.ok, access.ok))


async def run_instance(file: InstanceFile) -> None:
    """Runs an instance until SIGTERM or SIGINT, then drains and stops it."""
    settings = file.settings
    timeout_ms = settings.platform_timeout_ms
    async with (
        HttpObjectStore(settings.platform_url, response_timeout_ms=timeout_ms) as store,
        HttpInstanceRegistry(settings.platform_url, response_timeout_ms=timeout_ms) as registry,
        anyio.create_task_group() as group,
    ):
        instance = Instance(settings, store, registry, file.access, SystemClock())
        group.start_soon(_shut_down_on_signal, instance)
        await instance.run()
        group.cancel_scope.cancel()


async def _shut_down_on_signal(instance: Instance) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            instance.leave()
