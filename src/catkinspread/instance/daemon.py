"""The tasks of an instance that own its sockets."""

import anyio
import anyio.abc
from absl import logging

from catkinspread.clock import Clock
from catkinspread.configuration import apply_entry, decode_entry
from catkinspread.instance.actions import Action, SendToCaller, SendToUpstream
from catkinspread.instance.core import InstanceCore
from catkinspread.model import Endpoint
from catkinspread.objectstore import AppendLog, ObjectStore, ObjectStoreError
from catkinspread.settings import InstanceSettings
from catkinspread.transport import UdpPort
from catkinspread.wire import (
    PacketError,
    decode_fabric_packet,
    encode_fabric_packet,
    encode_packet,
)

CONFIGURATION_LOG = "configuration/log"
_WATCH_TIMEOUT_MS = 20_000
_RETRY_DELAY_MS = 500


class Instance:
    """One instance: wires its core to sockets and to the platform.

    Attributes:
        core: The decision logic.
    """

    __slots__ = (
        "_clock",
        "_fabric_port",
        "_settings",
        "_store",
        "_upstream_port",
        "core",
    )

    def __init__(
        self,
        settings: InstanceSettings,
        store: ObjectStore,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self.core = InstanceCore(settings.flows_max)
        self._fabric_port = UdpPort(settings.fabric_address, self._handle_fabric)
        self._upstream_port = UdpPort(settings.upstream_address, self._handle_upstream)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all tasks until cancelled."""
        async with anyio.create_task_group() as group:
            await group.start(self._fabric_port.run)
            await group.start(self._upstream_port.run)
            group.start_soon(self._follow_configuration)
            logging.info("instance: %s is running", self._settings.name)
            task_status.started()

    def _handle_fabric(self, data: bytes, _: Endpoint) -> None:
        try:
            packet = decode_fabric_packet(data)
        except PacketError:
            self.core.drops["malformed-fabric-packet"] += 1
            return
        self._execute(self.core.handle_caller(packet, self._clock.now_ms()))

    def _handle_upstream(self, datagram: bytes, sender: Endpoint) -> None:
        self._execute(self.core.handle_upstream(sender, datagram, self._clock.now_ms()))

    async def _follow_configuration(self) -> None:
        log = AppendLog(self._store, CONFIGURATION_LOG)
        while True:
            configuration = self.core.configuration
            try:
                entries = await log.wait_after(configuration.version, _WATCH_TIMEOUT_MS)
            except ObjectStoreError as error:
                logging.warning("instance: cannot watch the configuration: %s", error)
                await anyio.sleep(_RETRY_DELAY_MS / 1000)
                continue
            for entry in entries:
                change = decode_entry(entry.payload)
                configuration = apply_entry(configuration, entry.index, change)
            self.core.apply(configuration)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendToUpstream(endpoint, packet):
                    self._upstream_port.send(encode_packet(packet), endpoint)
                case SendToCaller(service_address, caller, packet):
                    data = encode_fabric_packet(service_address, caller, encode_packet(packet))
                    self._fabric_port.send(data, self._settings.fabric_return_address)
