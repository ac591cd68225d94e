"""How long an instance forwards packets after it has left the rotation."""

from collections.abc import Callable

import anyio

from catkinspread.clock import Clock

# Minimum duration of a shutdown: routers remove an instance after two failed readiness checks,
# which run every 500 ms.
SHUTDOWN_MIN_MS = 1_300
# Time without packets after which the shutdown ends.
SHUTDOWN_IDLE_MS = 400
# Time to spare before the platform kills the process at the end of its grace time.
SHUTDOWN_MARGIN_MS = 800
SHUTDOWN_POLL_INTERVAL_MS = 40
_MS_PER_S = 1_000


async def wait_until_unused(
    read_last_packet_at_ms: Callable[[], int], grace_ms: int, clock: Clock
) -> None:
    """Waits until the routers send no more packets, or until the grace time is nearly over.

    Args:
        read_last_packet_at_ms: Returns when the last packet arrived.
        grace_ms: Time from the stop signal after which the platform kills the process.
        clock: Source of the time.
    """
    started_ms = clock.now_ms()
    while clock.now_ms() < started_ms + grace_ms - SHUTDOWN_MARGIN_MS:
        now_ms = clock.now_ms()
        is_removed = now_ms - started_ms >= SHUTDOWN_MIN_MS
        if is_removed and now_ms - read_last_packet_at_ms() >= SHUTDOWN_IDLE_MS:
            return
        await anyio.sleep(SHUTDOWN_POLL_INTERVAL_MS / _MS_PER_S)
