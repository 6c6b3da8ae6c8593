"""Raft log: leader election, replication, membership and snapshots."""

from .notices import (
    EntriesCommitted,
    LeaderKnown,
    LeaderLost,
    LeaderReady,
    MemoryCommitted,
    Notice,
    SnapshotInstalled,
    SnapshotNeeded,
)
from .replica import Replica
from .settings import ReplicaOutput, ReplicaSettings, StoredLog

__all__ = [
    'EntriesCommitted',
    'LeaderKnown',
    'LeaderLost',
    'LeaderReady',
    'MemoryCommitted',
    'Notice',
    'Replica',
    'ReplicaOutput',
    'ReplicaSettings',
    'SnapshotInstalled',
    'SnapshotNeeded',
    'StoredLog',
]
