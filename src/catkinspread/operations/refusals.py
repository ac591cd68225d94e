"""The log of refused commands, written in batches to `configuration/refusals`."""

import uuid
from collections import deque
from collections.abc import Callable

import anyio
import msgspec
from absl import logging

from catkinspread.objectstore import AppendLog, AppendOutcome, ObjectStore, ObjectStoreError

REFUSAL_LOG = "configuration/refusals"
# One write per interval and instance keeps 640 instances below 130 writes a second.
FLUSH_INTERVAL_MS = 5_000
BATCH_MAX_BYTES = 64_000
PENDING_MAX = 1_000
# Callers without a token must not displace the refusals of known operators.
PENDING_UNAUTHORISED_MAX = 100
TEXT_MAX_CHARACTERS = 300
_APPEND_ATTEMPTS = 5


class Refusal(msgspec.Struct, array_like=True, frozen=True):
    """A command that was refused.

    Attributes:
        at_ms: When, in ms since the epoch.
        actor: Who stated it; empty if the token was not known.
        command: The command as stated, cut to TEXT_MAX_CHARACTERS.
        message: Why it was refused, cut likewise.
    """

    at_ms: int
    actor: str
    command: str
    message: str


class RefusalBatch(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log of refusals.

    Attributes:
        refusals: In the order in which they were refused.
        dropped_count: Refusals since the batch before that were not kept.
    """

    refusals: tuple[Refusal, ...]
    dropped_count: int


class _WaitingBatch(msgspec.Struct, frozen=True):
    entry_id: str
    payload: bytes


_DECODER = msgspec.msgpack.Decoder(RefusalBatch)


class RefusalLog:
    """Keeps refusals in bounded memory until they are written.

    Attributes:
        pending_count: Refusals that wait to be put in a batch.
    """

    __slots__ = ("_dropped", "_index", "_log", "_make_id", "_pending", "_unauthorised", "_waiting")

    def __init__(
        self, store: ObjectStore, make_id: Callable[[], str] = lambda: uuid.uuid4().hex
    ) -> None:
        self._log = AppendLog(store, REFUSAL_LOG)
        self._make_id = make_id
        self._pending: deque[Refusal] = deque()
        self._unauthorised: deque[Refusal] = deque()
        self._dropped = 0
        self._index: int | None = None
        self._waiting: _WaitingBatch | None = None

    @property
    def pending_count(self) -> int:
        """Refusals that wait to be put in a batch."""
        return len(self._pending) + len(self._unauthorised)

    def add(self, refusal: Refusal) -> None:
        """Notes a refusal; when too many wait, it is counted and dropped."""
        queue, limit = self._pending, PENDING_MAX
        if not refusal.actor:
            queue, limit = self._unauthorised, PENDING_UNAUTHORISED_MAX
        if len(queue) >= limit:
            self._dropped += 1
            return
        command, message = (
            text[:TEXT_MAX_CHARACTERS].encode(errors="replace").decode()
            for text in (refusal.command, refusal.message)
        )
        queue.append(msgspec.structs.replace(refusal, command=command, message=message))

    async def flush(self) -> bool:
        """Writes one batch and returns whether nothing is left to write.

        A batch whose outcome is unknown keeps its id and its index, so the next call completes
        it without a second entry.

        Raises:
            ObjectStoreError: If the platform did not confirm the batch.
        """
        if self._waiting is None:
            self._waiting = self._build_batch()
        if self._waiting is None:
            return True
        if self._index is None:
            self._index = await self._find_end(0)
        for _ in range(_APPEND_ATTEMPTS):
            batch = self._waiting
            outcome = await self._log.append(self._index + 1, batch.entry_id, batch.payload)
            if outcome is AppendOutcome.WRITTEN:
                self._index += 1
                self._waiting = None
                break
            self._index = await self._find_end(self._index)
        return self._waiting is None and not self.pending_count and not self._dropped

    async def run(self, interval_ms: int = FLUSH_INTERVAL_MS) -> None:
        """Writes a batch per interval until cancelled."""
        while True:
            await anyio.sleep(interval_ms / 1000)
            try:
                await self.flush()
            except ObjectStoreError as error:
                logging.warning("operations: refusals wait for the platform: %s", error)

    async def read_latest(self, batches: int) -> list[Refusal]:
        """Returns the refusals of the latest batches, oldest first, and those not written yet."""
        end = await self._find_end(self._index or 0)
        found: list[Refusal] = []
        for entry in await self._log.read_after(max(0, end - batches)):
            found.extend(_DECODER.decode(entry.payload).refusals)
        if self._waiting is not None:
            found.extend(_DECODER.decode(self._waiting.payload).refusals)
        found += [*self._unauthorised, *self._pending]
        return sorted(found, key=lambda refusal: refusal.at_ms)

    def _build_batch(self) -> _WaitingBatch | None:
        refusals: list[Refusal] = []
        size_bytes = 0
        for queue in (self._pending, self._unauthorised):
            while queue:
                size_bytes += len(msgspec.msgpack.encode(queue[0]))
                if size_bytes > BATCH_MAX_BYTES:
                    break
                refusals.append(queue.popleft())
        if not refusals and not self._dropped:
            return None
        batch = RefusalBatch(tuple(refusals), self._dropped)
        self._dropped = 0
        return _WaitingBatch(self._make_id(), msgspec.msgpack.encode(batch))

    async def _find_end(self, known: int) -> int:
        """Returns the last index with a number of reads that is logarithmic in the log."""
        step = 1
        while await self._log.read_after(known + step - 1, limit=1):
            step *= 2
        low, high = known + step // 2, known + step
        # Entry `low` exists or is `known`; entry `high` does not exist.
        while high - low > 1:
            middle = (low + high) // 2
            if await self._log.read_after(middle - 1, limit=1):
                low = middle
            else:
                high = middle
        return low
