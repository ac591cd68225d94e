"""Exceptions that object stores and instance registries raise."""


class ObjectStoreError(Exception):
    """Base class of the exceptions of this package."""


class ObjectNotFound(ObjectStoreError):
    """The object does not exist."""


class ObjectExists(ObjectStoreError):
    """The object was not created, because one with the same key exists."""


class VersionConflict(ObjectStoreError):
    """The object does not have the version that a conditional write expects."""


class ValueTooLarge(ObjectStoreError):
    """The value exceeds the size limit of the store."""


class StoreUnavailable(ObjectStoreError):
    """The store was unreachable or refused the request, or a read failed; nothing was written."""


class OutcomeUnknown(ObjectStoreError):
    """The response to a write was lost or unusable; the write may have taken effect."""
