"""Errors of the object store layer."""


class ObjectStoreError(Exception):
    """Base of all errors of this layer."""


class ObjectNotFound(ObjectStoreError):
    """No object has the key."""


class ObjectExists(ObjectStoreError):
    """An object with the key exists already, so it was not created."""


class VersionConflict(ObjectStoreError):
    """The object has another version than the update was conditional on."""


class ValueTooLarge(ObjectStoreError):
    """The value is larger than the store holds."""


class StoreUnavailable(ObjectStoreError):
    """The store could not be reached or refused the call; nothing was written."""


class OutcomeUnknown(ObjectStoreError):
    """The answer to a write was lost; the write may have taken effect."""
