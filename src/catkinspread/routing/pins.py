"""Pins of flows whose slots are in transition.

A pin maps the hash of one flow to the upstream that the flow is assigned to.
"""

from collections.abc import Iterable

from catkinspread.model import SLOT_COUNT


class SlotPins:
    """Pins of one slot, kept in two generations.

    A packet moves the pin of its flow to the young generation. The generations replace a time
    stamp per flow: after a full idle time-out, the old generation holds exactly the idle flows.
    """

    __slots__ = ("old", "young")

    def __init__(self) -> None:
        self.young: dict[int, str] = {}
        self.old: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self.young) + len(self.old)

    def find(self, flow: int) -> str | None:
        """Returns the upstream of a flow without marking it as active; None if it has no pin."""
        upstream = self.young.get(flow)
        return self.old.get(flow) if upstream is None else upstream

    def touch(self, flow: int) -> str | None:
        """Returns the upstream of a flow and marks it as active; None if it has no pin."""
        upstream = self.young.get(flow)
        if upstream is None and (upstream := self.old.pop(flow, None)) is not None:
            self.young[flow] = upstream
        return upstream

    def set(self, flow: int, upstream: str) -> None:
        """Pins a flow and marks it as active."""
        self.old.pop(flow, None)
        self.young[flow] = upstream

    def remove(self, flow: int) -> bool:
        """Removes the pin of a flow and returns whether there was one."""
        return (self.young.pop(flow, None) or self.old.pop(flow, None)) is not None

    def restart_idle_timer(self) -> None:
        """Moves all pins to the old generation without removing any."""
        self.old.update(self.young)
        self.young = {}

    def remove_idle(self) -> list[int]:
        """Removes the pins of flows without a packet since the idle timer started.

        Returns these flows. The remaining flows start a new idle period.
        """
        removed = list(self.old)
        self.old = self.young
        self.young = {}
        return removed

    def items(self) -> Iterable[tuple[int, str]]:
        """Yields all pins as (flow, upstream) pairs."""
        yield from self.young.items()
        yield from self.old.items()


class PinTable:
    """Pins of all services, and the closed flows whose pins are kept for delayed packets."""

    __slots__ = ("_closing", "_count", "_slots", "_versions")

    def __init__(self) -> None:
        self._slots: dict[str, dict[int, SlotPins]] = {}
        self._versions: dict[tuple[str, int], int] = {}
        self._closing: dict[tuple[str, int], int] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def find_slot(self, service: str, slot: int) -> SlotPins | None:
        """Returns the pins of a slot, or None if there are none."""
        slots = self._slots.get(service)
        return None if slots is None else slots.get(slot)

    def find(self, service: str, flow: int) -> str | None:
        """Returns the upstream that a flow is pinned to; None if the flow has no pin."""
        pins = self.find_slot(service, flow % SLOT_COUNT)
        return None if pins is None else pins.find(flow)

    def touch(self, service: str, flow: int) -> str | None:
        """Returns the upstream of a flow and marks it as active; None if the flow has no pin."""
        pins = self.find_slot(service, flow % SLOT_COUNT)
        return None if pins is None else pins.touch(flow)

    def set(self, service: str, flow: int, upstream: str, version: int) -> None:
        """Pins a flow.

        Args:
            service: Name of the service.
            flow: 64-bit flow hash.
            upstream: Name of the upstream.
            version: Configuration version of the instance that chose the upstream.
        """
        slot = flow % SLOT_COUNT
        pins = self._slots.setdefault(service, {}).setdefault(slot, SlotPins())
        before = len(pins)
        pins.set(flow, upstream)
        self._count += len(pins) - before
        key = (service, slot)
        self._versions[key] = max(version, self._versions.get(key, 0))

    def remove(self, service: str, flow: int) -> None:
        """Removes the pin of a flow if there is one."""
        self._closing.pop((service, flow), None)
        pins = self.find_slot(service, flow % SLOT_COUNT)
        if pins is not None and pins.remove(flow):
            self._count -= 1

    def remove_slot(self, service: str, slot: int, version: int) -> None:
        """Removes the pins of a slot that is no longer in transition.

        Args:
            service: Name of the service.
            slot: Index of the slot.
            version: Applied configuration version. Pins of a later version are kept, because
                they belong to a transition whose entry has not been applied here yet.
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
        """Restarts the idle time-out of all flows of slots."""
        for slot in slots:
            if (pins := self.find_slot(service, slot)) is not None:
                pins.restart_idle_timer()

    def remove_idle(self, service: str, slots: Iterable[int]) -> list[int]:
        """Removes the pins of flows of slots that were idle since the timer started.

        Returns:
            The flows whose pins were removed.
        """
        removed: list[int] = []
        for slot in slots:
            if (pins := self.find_slot(service, slot)) is not None:
                removed.extend(pins.remove_idle())
        self._count -= len(removed)
        for flow in removed:
            self._closing.pop((service, flow), None)
        return removed

    def close(self, service: str, flow: int, until_ms: int) -> None:
        """Marks the pin of a closed flow for removal.

        Args:
            service: Name of the service.
            flow: 64-bit flow hash.
            until_ms: Absolute time of the removal in ms. It must not be less than in earlier
                calls, otherwise the removal is delayed until the pins marked earlier are removed.
        """
        self._closing.pop((service, flow), None)
        self._closing[service, flow] = until_ms

    def is_closing(self, service: str, flow: int) -> bool:
        """Returns whether the flow was closed and its pin is kept only for delayed packets."""
        return (service, flow) in self._closing

    def reopen(self, service: str, flow: int) -> None:
        """Cancels the removal of the pin of a closed flow."""
        self._closing.pop((service, flow), None)

    def remove_closed(self, now_ms: int) -> list[tuple[str, int]]:
        """Removes the pins of closed flows whose linger time has passed and returns the flows."""
        removed: list[tuple[str, int]] = []
        for key, until_ms in self._closing.items():
            if until_ms > now_ms:
                # The entries are in order of time.
                break
            removed.append(key)
        for service, flow in removed:
            self.remove(service, flow)
        return removed
