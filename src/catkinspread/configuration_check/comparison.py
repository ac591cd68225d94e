"""Pairs the entries of a configuration with those of the configuration in force.

Routes and services are paired by name, and entries with the same name in their order.
"""

from collections.abc import Iterable
from typing import Generic, TypeVar

from catkinspread.configuration_check.draft import ConfigurationDraft, RouteEntry
from catkinspread.configuration_check.findings import ConfigurationPart
from catkinspread.deployment import ServiceLimits

_Entry = TypeVar("_Entry", RouteEntry, ServiceLimits)


class PairedEntries(Generic[_Entry]):
    """The routes or the services of two configurations.

    Args:
        listed: Entries of the draft.
        in_force: Entries in force.

    Attributes:
        added: Parts of the draft without a counterpart in force.
        removed: Parts in force without a counterpart in the draft.
        changed: Part of the draft, entry in force and entry of the draft of each pair that differs.
    """

    __slots__ = ("added", "changed", "removed")

    def __init__(
        self,
        listed: Iterable[tuple[ConfigurationPart, _Entry]],
        in_force: Iterable[tuple[ConfigurationPart, _Entry]],
    ) -> None:
        self.added: list[ConfigurationPart] = []
        self.changed: list[tuple[ConfigurationPart, _Entry, _Entry]] = []
        unpaired = _key_by_name(in_force)
        for key, (part, entry) in _key_by_name(listed).items():
            counterpart = unpaired.pop(key, None)
            if counterpart is None:
                self.added.append(part)
            elif counterpart[1] != entry:
                self.changed.append((part, counterpart[1], entry))
        self.removed = [part for part, _ in unpaired.values()]


class ConfigurationComparison:
    """A draft and the configuration in force.

    Args:
        draft: The draft.
        in_force: The configuration in force.

    Attributes:
        draft: The draft.
        in_force: The configuration in force.
        routes: The routes of both.
        services: The services of both.
    """

    __slots__ = ("draft", "in_force", "routes", "services")

    def __init__(self, draft: ConfigurationDraft, in_force: ConfigurationDraft) -> None:
        self.draft = draft
        self.in_force = in_force
        self.routes = PairedEntries(draft.routes, in_force.routes)
        self.services = PairedEntries(draft.services, in_force.services)


def _key_by_name(
    listed: Iterable[tuple[ConfigurationPart, _Entry]],
) -> dict[tuple[str, int], tuple[ConfigurationPart, _Entry]]:
    """Returns entries by name and by how many earlier entries have the name."""
    seen: dict[str, int] = {}
    keyed = {}
    for item in listed:
        name = item[0].name
        earlier_count = seen.get(name, 0)
        seen[name] = earlier_count + 1
        keyed[name, earlier_count] = item
    return keyed
