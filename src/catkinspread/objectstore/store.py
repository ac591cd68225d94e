"""Interface of the object store."""

from typing import Protocol

import msgspec

# Maximum size of a value, and total size of the values that one scan returns.
VALUE_MAX_BYTES = 1_000_000
# Maximum number of objects per scan, unless the caller sets a limit.
DEFAULT_SCAN_LIMIT = 1_000


class StoredObject(msgspec.Struct, frozen=True):
    """An object in the store.

    Attributes:
        key: Path-like name of the object.
        value: Contents, at most VALUE_MAX_BYTES.
        version: Version number, which increases with every write of the object. The first is 1,
            also if the object is created again after a deletion. Versions from before and after a
            deletion must therefore not be compared.
    """

    key: str
    value: bytes
    version: int


class ObjectStore(Protocol):
    """A store of versioned objects with conditional writes and watches.

    Every method may raise StoreUnavailable, or ObjectStoreError for any other error of the store.
    Every write may also raise OutcomeUnknown.
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

        If such an object exists already, the wait ends at once.

        Args:
            prefix: Prefix of the keys.
            after: Exclusive lower bound of the keys.
            timeout_ms: Time-out in ms.

        Returns:
            The objects as `scan` returns them, or an empty list if the time-out expired. An
            implementation may also end the wait earlier and return an empty list.
        """
