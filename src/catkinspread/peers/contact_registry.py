"""The interface through which instances that don't know each other are found."""

from typing import Protocol

import msgspec

# Instances of a data centre that are listed.
CONTACTS_PER_DATA_CENTRE = 3


class RegistryUnavailable(Exception):
    """The registry did not answer, or rejected the call."""


class ContactList(msgspec.Struct, frozen=True):
    """Instances of a data centre that others may contact.

    Attributes:
        data_centre: Name of the data centre.
        hosts: Their IP addresses, at most CONTACTS_PER_DATA_CENTRE; empty if what is registered
            cannot be read.
        revision: Number of the last change of the list.
    """

    data_centre: str
    hosts: tuple[str, ...]
    revision: int


class ContactRegistry(Protocol):
    """Keeps one list of contacts for each data centre, outside the instances."""

    async def list_contacts(self, may_be_outdated: bool) -> tuple[ContactList, ...]:
        """Returns the lists of the data centres.

        Args:
            may_be_outdated: Whether lists of some seconds ago are good enough, which costs less.

        Raises:
            RegistryUnavailable: If the registry did not return a valid response.
        """

    async def put_contacts(
        self, data_centre: str, hosts: tuple[str, ...], replaced: ContactList | None
    ) -> bool:
        """Creates or replaces the list of a data centre.

        Args:
            data_centre: Name of the data centre.
            hosts: IP addresses of the instances.
            replaced: The list that is replaced; None to create one.

        Returns:
            Whether the list was written; False if another writer came first.

        Raises:
            RegistryUnavailable: If it is not known whether the list was written.
        """
