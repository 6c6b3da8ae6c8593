"""Durable storage of a voter."""

from .delayed import DelayedStorage
from .files import FileStorage, StorageInUseError, open_storage
from .memory import MemoryStorage
from .storage import Storage

__all__ = [
    'DelayedStorage',
    'FileStorage',
    'MemoryStorage',
    'Storage',
    'StorageInUseError',
    'open_storage',
]
