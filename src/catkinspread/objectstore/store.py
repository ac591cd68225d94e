"""Interface of the object store."""

from typing import Protocol

import msgspec

VALUE_MAX_BYTES = 1_000_000
DEFAULT_SCAN_LIMIT = 1_000


class StoredObject(msgspec.Struct, frozen=True):
    """An object in the store.

    Attributes:
        key: Path-like name of the object.
        value: Contents, at most VALUE_MAX_BYTES.
        version: Version number, which increases with every write of the object; the first is 1.
    """

    key: str
    value: bytes
    version: int


class ObjectStore(Protocol):
    """A store of versioned objects with conditional writes and watches.

    Every method may raise StoreUnavailable. Every write may also raise OutcomeUnknown.
    """

    async def get(self, key: str) -> StoredObject:
        """Returns an object.

        Raises:
            ObjectNotFound: If the object does not exist.
        """

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object and returns its version.

        Raises:
            ObjectExists: If an object with the key exists.
            ValueTooLarge: If the value exceeds VALUE_MAX_BYTES.
        """

    async def update(self, key: str, value: bytes, expected_version: int) -> int:
        """Replaces an object that has the expected version and returns the new version.

        Raises:
            ObjectNotFound: If the object does not exist.
            VersionConflict: If the object has another version.
            ValueTooLarge: If the value exceeds VALUE_MAX_BYTES.
        """

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object that has the expected version.

        Raises:
            ObjectNotFound: If the object does not exist.
            VersionConflict: If the object has another version.
        """

    async def scan(
        self, prefix: str, after: str = "", limit: int = DEFAULT_SCAN_LIMIT
    ) -> list[StoredObject]:
        """Returns the objects whose keys start with a prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Exclusive lower bound of the keys.
            limit: Maximum number of objects. The total size of the values is also limited to
                VALUE_MAX_BYTES, but at least one object is returned if any matches.
        """

    async def watch(self, prefix: str, after: str, timeout_ms: int) -> list[StoredObject]:
        """Waits until an object exists whose key starts with a prefix and is greater than `after`.

        Returns:
            The objects as `scan` returns them, or an empty list if the time-out expired.
        """
