"""Composition root: creates an `Instance` and its dependencies from a settings file.

Forwarding instances (`catkinspread.runtime.ForwardingInstance`) are started by
`catkinspread.runtime.main` instead.
"""

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


class LoadedSettings(msgspec.Struct, frozen=True):
    """Validated content of a settings file.

    Attributes:
        instance: Settings of the instance.
        access: Names, teams and roles of the operators by the SHA-256 digest of their access token.
    """

    instance: InstanceSettings
    access: AccessList


def load_settings_file(path: str | pathlib.Path) -> Result[LoadedSettings, SettingsError]:
    """Reads and validates a settings file, including its access tokens.

    Returns:
        The content, or an error. The error lists all problems of the instance settings; access tokens
        are checked only if there are none, and then the error has the first problem of a token.
    """
    file = str(path)
    parsed = load_ini_file(path)
    if parsed.is_error():
        return Error(parsed.error)
    instance = read_instance_settings(file, parsed.ok)
    if instance.is_error():
        return Error(instance.error)
    access = read_access_list(parsed.ok)
    if access.is_error():
        # The message contains the section and the key.
        problem = SettingsProblem(file, section="", key="", value="", message=access.error.message)
        return Error(SettingsError((problem,)))
    return Ok(LoadedSettings(instance.ok, access.ok))


async def run_instance(loaded: LoadedSettings) -> None:
    """Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully.

    The shutdown waits for at most `drain_timeout_ms` until no request is open.

    Raises:
        ExceptionGroup: With OSError or zmq.ZMQError, in nested groups, if an address cannot be bound.
    """
    settings = loaded.instance
    timeout_ms = settings.platform_timeout_ms
    async with (
        HttpObjectStore(settings.platform_url, response_timeout_ms=timeout_ms) as store,
        HttpInstanceRegistry(settings.platform_url, response_timeout_ms=timeout_ms) as registry,
        anyio.create_task_group() as group,
    ):
        instance = Instance(settings, store, registry, loaded.access, SystemClock())
        group.start_soon(_shut_down_on_signal, instance)
        await instance.run()
        # Stops the signal receiver, which runs until cancelled.
        group.cancel_scope.cancel()


async def _shut_down_on_signal(instance: Instance) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            instance.leave()
