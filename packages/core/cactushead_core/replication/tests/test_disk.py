"""Tests of the synced index."""

from cactushead_core.effects import LogEntry
from cactushead_core.replication.disk import DiskProgress


def entries(term, first, last):
    return tuple(LogEntry(term, i, b'') for i in range(first, last + 1))


def test_synced_append_advances_the_synced_index():
    disk = DiskProgress(0)
    disk.append_started(entries(1, 1, 3))
    disk.append_started(entries(1, 4, 5))
    disk.append_synced(1, 3)
    assert disk.synced_index == 3
    disk.append_synced(1, 5)
    assert disk.synced_index == 5


def test_sync_of_truncated_entries_is_ignored():
    disk = DiskProgress(0)
    disk.append_started(entries(1, 1, 5))
    disk.truncated_from(3)
    disk.append_synced(1, 5)
    assert disk.synced_index == 2


def test_sync_of_a_truncated_and_reappended_entry_is_ignored():
    disk = DiskProgress(1)
    disk.append_started(entries(1, 2, 2))
    disk.truncated_from(2)
    disk.append_started(entries(2, 2, 2))
    disk.truncated_from(2)
    disk.append_started(entries(1, 2, 2))
    disk.append_synced(1, 2)
    assert disk.synced_index == 1
    disk.append_synced(2, 2)
    assert disk.synced_index == 1
    disk.append_synced(1, 2)
    assert disk.synced_index == 2


def test_truncation_lowers_the_synced_index():
    disk = DiskProgress(5)
    disk.truncated_from(4)
    assert disk.synced_index == 3


def test_sync_from_before_a_snapshot_is_ignored():
    disk = DiskProgress(0)
    disk.append_started(entries(1, 1, 12))
    disk.replaced_by_snapshot(10, 2)
    disk.append_synced(1, 12)
    assert disk.synced_index == 0
    disk.snapshot_saved(10)
    assert disk.synced_index == 10
