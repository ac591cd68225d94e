"""Routers that spread packets over the instances that answer the readiness check."""

import collections

import anyio

from catkinspread.hashing import rank_by_rendezvous
from catkinspread.httpclient import HttpClient, HttpFailure
from catkinspread.model import Endpoint
from catkinspread.platform.stand_ins import READINESS_PATH
from catkinspread.soak.layout import READINESS_PORT
from catkinspread.soak.processes import InstanceProcess

CHECK_INTERVAL_MS = 500
_CHECK_TIMEOUT_MS = 400
_MISSES_MAX = 2
_OK = 200
_MS_PER_S = 1_000


class Router:
    """Chooses an instance for each packet by a steady hash.

    Args:
        instances: All instances.
    """

    __slots__ = ("_instances", "_misses")

    def __init__(self, instances: list[InstanceProcess]) -> None:
        self._instances = instances
        self._misses = collections.Counter({found.name: _MISSES_MAX for found in instances})

    async def run(self) -> None:
        """Checks all instances until cancelled."""
        async with HttpClient() as client, anyio.create_task_group() as group:
            for instance in self._instances:
                group.start_soon(self._check, client, instance)

    def is_ready(self, instance: InstanceProcess) -> bool:
        """Whether an instance is in rotation."""
        return self._misses[instance.name] < _MISSES_MAX

    def choose_host(self, data_centre: str, flow: str) -> str:
        """Returns the address of the instance that gets the packets of a flow."""
        own = [found for found in self._instances if found.data_centre == data_centre]
        ready = [found for found in own if self.is_ready(found)]
        if not ready:
            ready = [found for found in self._instances if self.is_ready(found)] or own
        elif 2 * len(ready) < len(own):
            ready = own
        names = {found.name: found.host for found in ready}
        return names[rank_by_rendezvous(flow, names)[0]]

    async def _check(self, client: HttpClient, instance: InstanceProcess) -> None:
        endpoint = Endpoint(instance.host, READINESS_PORT)
        while True:
            with anyio.move_on_after(_CHECK_TIMEOUT_MS / _MS_PER_S):
                if await self._is_answering(client, endpoint):
                    self._misses[instance.name] = -1
            self._misses[instance.name] += 1
            await anyio.sleep(CHECK_INTERVAL_MS / _MS_PER_S)

    async def _is_answering(self, client: HttpClient, endpoint: Endpoint) -> bool:
        try:
            result = await client.get(
                endpoint, READINESS_PATH, {}, _CHECK_TIMEOUT_MS, _CHECK_TIMEOUT_MS
            )
        except HttpFailure:
            return False  # Expected while the instance is down; it counts as a miss.
        return result.status == _OK
