"""Pins of flows whose slots are in transition."""

from collections.abc import Iterable

from catkinspread.model import SLOT_COUNT


class SlotPins:
    """Pins of one slot in two generations.

    A flow that is seen moves to the young generation. Generations cost no time stamp per
    flow: after a whole idle time the old generation holds exactly the silent flows.
    """

    __slots__ = ("old", "young")

    def __init__(self) -> None:
        self.young: dict[int, str] = {}
        self.old: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self.young) + len(self.old)

    def find(self, flow: int) -> str | None:
        """Returns the upstream of a flow without counting it as seen."""
        upstream = self.young.get(flow)
        return self.old.get(flow) if upstream is None else upstream

    def touch(self, flow: int) -> str | None:
        """Returns the upstream of a flow and counts it as seen; None if it has no pin."""
        upstream = self.young.get(flow)
        if upstream is None and (upstream := self.old.pop(flow, None)) is not None:
            self.young[flow] = upstream
        return upstream

    def set(self, flow: int, upstream: str) -> None:
        """Pins a flow and counts it as seen."""
        self.old.pop(flow, None)
        self.young[flow] = upstream

    def forget(self, flow: int) -> bool:
        """Removes a pin; returns whether there was one."""
        return (self.young.pop(flow, None) or self.old.pop(flow, None)) is not None

    def restart_idle_timer(self) -> None:
        """Counts all flows as unseen from now on, without expiring any."""
        self.old.update(self.young)
        self.young = {}

    def expire(self) -> list[int]:
        """Removes and returns the flows that were not seen since the idle clock started."""
        expired = list(self.old)
        self.old = self.young
        self.young = {}
        return expired

    def items(self) -> Iterable[tuple[int, str]]:
        """Returns all pins as (flow, upstream)."""
        yield from self.young.items()
        yield from self.old.items()


class PinTable:
    """Pins of all services, and closes that are not final yet."""

    __slots__ = ("_closing", "_count", "_slots", "_versions")

    def __init__(self) -> None:
        self._slots: dict[str, dict[int, SlotPins]] = {}
        self._versions: dict[tuple[str, int], int] = {}
        self._closing: dict[tuple[str, int], int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def find_slot(self, service: str, slot: int) -> SlotPins | None:
        """Returns the pins of a slot, or None if it has none."""
        slots = self._slots.get(service)
        return None if slots is None else slots.get(slot)

    def find(self, service: str, flow: int) -> str | None:
        """Returns the upstream that a flow is pinned to."""
        pins = self.find_slot(service, flow % SLOT_COUNT)
        return None if pins is None else pins.find(flow)

    def touch(self, service: str, flow: int) -> str | None:
        """Returns the upstream that a flow is pinned to and counts the flow as seen."""
        pins = self.find_slot(service, flow % SLOT_COUNT)
        return None if pins is None else pins.touch(flow)

    def set(self, service: str, flow: int, upstream: str, version: int) -> None:
        """Pins a flow.

        Args:
            service: Name of the service.
            flow: Flow hash.
            upstream: Name of the upstream.
            version: Version of the configuration of the instance that decided.
        """
        slot = flow % SLOT_COUNT
        pins = self._slots.setdefault(service, {}).setdefault(slot, SlotPins())
        before = len(pins)
        pins.set(flow, upstream)
        self._count += len(pins) - before
        key = (service, slot)
        self._versions[key] = max(version, self._versions.get(key, 0))

    def forget(self, service: str, flow: int) -> None:
        """Removes the pin of a flow if there is one."""
        self._closing.pop((service, flow), None)
        pins = self.find_slot(service, flow % SLOT_COUNT)
        if pins is not None and pins.forget(flow):
            self._count -= 1

    def forget_slot(self, service: str, slot: int, version: int) -> None:
        """Removes the pins of a slot without transition.

        Args:
            service: Name of the service.
            slot: Index of the slot.
            version: Applied version. Pins of a later version stay: they belong to a transition
                whose entry has not arrived yet.
        """
        key = (service, slot)
        if self._versions.get(key, 0) > version:
            return
        self._versions.pop(key, None)
        pins = self._slots.get(service, {}).pop(slot, None)
        if pins is not None:
            self._count -= len(pins)

    def list_slots(self, service: str) -> list[int]:
        """Returns the slots of a service that have pins."""
        return list(self._slots.get(service, ()))

    def restart_idle_timer(self, service: str, slots: Iterable[int]) -> None:
        """Counts the flows of slots as unseen from now on."""
        for slot in slots:
            if (pins := self.find_slot(service, slot)) is not None:
                pins.restart_idle_timer()

    def expire(self, service: str, slots: Iterable[int]) -> list[int]:
        """Removes and returns the flows of slots that were silent since the clock started."""
        expired: list[int] = []
        for slot in slots:
            if (pins := self.find_slot(service, slot)) is not None:
                expired.extend(pins.expire())
        self._count -= len(expired)
        for flow in expired:
            self._closing.pop((service, flow), None)
        return expired

    def close(self, service: str, flow: int, until_ms: int) -> None:
        """Marks a pin as closing until a time."""
        self._closing.pop((service, flow), None)
        self._closing[service, flow] = until_ms

    def is_closing(self, service: str, flow: int) -> bool:
        """Returns whether the flow was closed and its pin only lingers."""
        return (service, flow) in self._closing

    def reopen(self, service: str, flow: int) -> None:
        """Takes back a close."""
        self._closing.pop((service, flow), None)

    def remove_closed(self, now_ms: int) -> list[tuple[str, int]]:
        """Removes pins whose time after the close has passed and returns their flows."""
        ended: list[tuple[str, int]] = []
        for key, until_ms in self._closing.items():
            if until_ms > now_ms:
                # Closes are kept in order of time.
                break
            ended.append(key)
        for service, flow in ended:
            self.forget(service, flow)
        return ended
