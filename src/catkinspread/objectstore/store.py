"""The interface of the object API that the rest of the package uses."""

from typing import Protocol

import msgspec

VALUE_MAX_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True):
    """An object as read from the store.

    Attributes:
        key: Path-like name.
        value: The bytes that were written, at most VALUE_MAX_BYTES.
        version: Grows with every write of this object; the first is 1.
    """

    key: str
    value: bytes
    version: int


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches.

    Every method may raise StoreUnavailable. Every write may raise OutcomeUnknown.
    """

    async def get(self, key: str) -> StoredObject:
        """Returns an object.

        Raises:
            ObjectNotFound: If there is none.
        """

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object that must not exist yet and returns its version.

        Raises:
            ObjectExists: If the key is taken.
            ValueTooLarge: If the value exceeds VALUE_MAX_BYTES.
        """

    async def update(self, key: str, value: bytes, expected_version: int) -> int:
        """Replaces an object at an expected version and returns the new version.

        Raises:
            ObjectNotFound: If there is none.
            VersionConflict: If its version is another one.
            ValueTooLarge: If the value exceeds VALUE_MAX_BYTES.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object at an expected version.

        Raises:
            ObjectNotFound: If there is none.
            VersionConflict: If its version is another one.
        """

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[StoredObject]:
        """Returns objects whose key starts with a prefix, in order of key.

        Args:
            prefix: Start of the keys.
            after: Only keys greater than this one are returned.
            limit: Largest number of objects; the total of values is also at most
                VALUE_MAX_BYTES, but at least one object is returned if there is one.
        """

    async def watch(self, prefix: str, after: str, timeout_ms: int) -> list[StoredObject]:
        """Waits until keys greater than `after` exist under a prefix, then returns them.

        Returns:
            The objects as from `scan`; empty when the timeout passed.
        """
