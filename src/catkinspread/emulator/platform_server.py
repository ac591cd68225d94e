"""A stand-in for the platform: the object API and the list of instances over HTTP/1.1.

It serves the mapping of `docs/objectstore.md` from a MemoryObjectStore. A fault that loses an
answer closes the connection, as a real loss looks to the client.
"""

import anyio
import anyio.abc

from catkinspread.clock import Clock, SystemClock
from catkinspread.emulator.platform_api import PlatformApi, PlatformSettings
from catkinspread.model import Endpoint
from catkinspread.objectstore import VALUE_MAX_BYTES, MemoryObjectStore
from catkinspread.transport import BODY_DRAIN_FACTOR, HttpServer

# A msgpack body adds a few bytes to the value.
BODY_MAX_BYTES = VALUE_MAX_BYTES + 4_096
BODY_DRAIN_MAX_BYTES = BODY_DRAIN_FACTOR * BODY_MAX_BYTES


async def run_platform(
    host: str,
    port: int,
    settings: PlatformSettings | None = None,
    *,
    store: MemoryObjectStore | None = None,
    clock: Clock | None = None,
    task_status: anyio.abc.TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the platform until it is cancelled.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        settings: Limits.
        store: Objects to start with; its faults are reset.
        clock: Time of the rate limits and of the list of instances.
        task_status: Is given the endpoint once the server listens.
    """
    api = PlatformApi(
        settings or PlatformSettings(), store or MemoryObjectStore(), clock or SystemClock()
    )

    def count_malformed() -> None:
        api.counters.malformed_count += 1

    server = HttpServer(api.answer, BODY_MAX_BYTES, "platform", count_malformed)
    await server.run(Endpoint(host, port), task_status=task_status)
