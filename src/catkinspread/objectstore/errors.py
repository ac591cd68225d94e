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
    """A read failed, or a write was refused or not sent.

    A write that raises this had no effect.
    """


class OutcomeUnknown(ObjectStoreError):
    """The response to a write was lost or unusable; the write may have taken effect."""
