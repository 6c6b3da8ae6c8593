"""Tests of the storage in a data folder and in memory."""

import shutil
import time

import pytest
import trio
from cactushead_core.effects import (
    AppendLog,
    LogEntry,
    SaveSnapshot,
    SaveVote,
)
from cactushead_core.errors import CorruptRecordError, StorageError
from cactushead_core.events import LogSynced, SnapshotSaved, VoteSaved
from cactushead_core.replication import StoredLog
from cactushead_node.storage import (
    MemoryStorage,
    StorageInUseError,
    atomic_file,
    open_storage,
)


def entry(index, term=1, command=None):
    return LogEntry(term, index, command or b'command %d' % index)


def append(*entries):
    return AppendLog(tuple(entries))


def perform(storage, *effects):
    return trio.run(storage.perform, effects, time.monotonic)


def reopen_and_load(folder):
    storage = open_storage(folder)
    stored = storage.load()
    storage.close()
    return stored


def write(folder, *batches):
    storage = open_storage(folder)
    for batch in batches:
        perform(storage, *batch)
    storage.close()


SNAPSHOT = SaveSnapshot(1, 2, b'members', b'state')


def test_empty_folder_loads_an_empty_log(tmp_path):
    assert reopen_and_load(tmp_path / 'data') == StoredLog()


def test_incarnation_survives_reopening(tmp_path):
    first = open_storage(tmp_path)
    first.close()
    second = open_storage(tmp_path)
    assert first.incarnation == second.incarnation
    second.close()


@pytest.mark.parametrize('first_start', [False, True])
def test_folder_remembers_the_first_start(tmp_path, first_start):
    """A lost disk must not be taken for one of the first start."""
    storage = open_storage(tmp_path, first_start=first_start)
    storage.close()
    again = open_storage(tmp_path, sync_delay_s=0.001)
    assert again.is_from_first_start is first_start
    again.close()
    shutil.rmtree(tmp_path)
    lost = open_storage(tmp_path)
    assert not lost.is_from_first_start
    lost.close()


def test_identity_of_earlier_software_is_not_of_the_first_start(tmp_path):
    atomic_file.write_record_file(tmp_path / 'identity', ['one'], salt=0)
    storage = open_storage(tmp_path, first_start=True)
    assert storage.incarnation == 'one'
    assert not storage.is_from_first_start
    storage.close()


def test_events_confirm_durable_effects(tmp_path):
    storage = open_storage(tmp_path, sync_delay_s=0.001)
    effects = [
        SaveVote(1, 'a'),
        append(entry(1), entry(2)),
        append(entry(3)),
        SNAPSHOT,
    ]
    events = perform(storage, *effects)
    now_s = events[0].now_s
    assert events == [
        VoteSaved(now_s, 1, 'a'),
        SnapshotSaved(now_s, 1, 2),
        LogSynced(now_s, 1, 3),
    ]
    storage.close()


@pytest.mark.parametrize('one_batch', [True, False])
def test_append_replaces_from_its_first_index(tmp_path, one_batch):
    effects = [
        append(entry(1), entry(2), entry(3)),
        append(entry(2, term=2)),
        append(entry(3, term=2)),
    ]
    write(tmp_path, *([effects] if one_batch else [[e] for e in effects]))
    expected = (entry(1), entry(2, term=2), entry(3, term=2))
    assert reopen_and_load(tmp_path).entries == expected


def test_snapshot_discards_the_log_prefix(tmp_path):
    appended = append(entry(1), entry(2), entry(3))
    write(tmp_path, [SaveVote(1, 'b'), appended], [SNAPSHOT])
    expected = StoredLog(1, 'b', 1, 2, b'members', b'state', (entry(3),))
    assert reopen_and_load(tmp_path) == expected


def test_conflicting_snapshot_discards_all_entries(tmp_path):
    appended = append(entry(1), entry(2), entry(3))
    write(tmp_path, [appended], [SaveSnapshot(2, 2, b'', b'')])
    assert reopen_and_load(tmp_path).entries == ()


def test_appends_continue_after_a_snapshot(tmp_path):
    write(
        tmp_path,
        [append(entry(1), entry(2), entry(3)), SNAPSHOT],
        [append(entry(4))],
        [append(entry(4, term=2))],
    )
    assert reopen_and_load(tmp_path).entries == (entry(3), entry(4, term=2))


def test_torn_tail_is_truncated_at_every_offset(tmp_path):
    write(tmp_path, [append(entry(1))])
    kept = (tmp_path / 'log').stat().st_size
    write(tmp_path, [append(entry(2), entry(3))])
    contents = (tmp_path / 'log').read_bytes()
    for size in range(kept, len(contents)):
        (tmp_path / 'log').write_bytes(contents[:size])
        assert reopen_and_load(tmp_path).entries == (entry(1),)
        assert (tmp_path / 'log').stat().st_size == kept


def test_zeros_after_the_log_are_truncated(tmp_path):
    write(tmp_path, [append(entry(1))])
    with (tmp_path / 'log').open('ab') as stream:
        stream.write(bytes(4096))
    assert reopen_and_load(tmp_path).entries == (entry(1),)


def test_corruption_before_a_valid_record_is_rejected(tmp_path):
    write(tmp_path, [append(entry(1))])
    start = (tmp_path / 'log').stat().st_size
    write(tmp_path, [append(entry(2))])
    end = (tmp_path / 'log').stat().st_size
    write(tmp_path, [append(entry(3))])
    contents = (tmp_path / 'log').read_bytes()
    for offset in range(start, end):
        damaged = bytearray(contents)
        damaged[offset] ^= 0x10
        (tmp_path / 'log').write_bytes(damaged)
        with pytest.raises(CorruptRecordError) as caught:
            open_storage(tmp_path)
        assert caught.value.offset_bytes == start
        assert caught.value.path == str(tmp_path / 'log')


def test_command_containing_a_record_is_not_read_as_one(tmp_path):
    write(tmp_path, [append(entry(1))])
    record_bytes = (tmp_path / 'log').read_bytes()
    other = tmp_path / 'other'
    write(other, [append(entry(1, command=record_bytes))])
    contents = bytearray((other / 'log').read_bytes())
    contents[0] ^= 1
    (other / 'log').write_bytes(contents)
    assert reopen_and_load(other).entries == ()


@pytest.mark.parametrize('name', ['vote', 'snapshot', 'identity'])
def test_damaged_record_file_is_rejected(tmp_path, name):
    write(tmp_path, [SaveVote(1, 'a'), append(entry(1), entry(2)), SNAPSHOT])
    contents = bytearray((tmp_path / name).read_bytes())
    contents[-1] ^= 1
    (tmp_path / name).write_bytes(contents)
    with pytest.raises(CorruptRecordError, match=name):
        reopen_and_load(tmp_path)


def test_crash_before_rename_keeps_the_old_snapshot(tmp_path, monkeypatch):
    write(tmp_path, [append(entry(1), entry(2), entry(3)), SNAPSHOT])
    before = reopen_and_load(tmp_path)
    storage = open_storage(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(atomic_file.Path, 'replace', _crash)
        with pytest.raises(StorageError):
            perform(storage, SaveSnapshot(1, 3, b'', b'newer'))
    storage.close()
    assert (tmp_path / 'snapshot.tmp').exists()
    assert reopen_and_load(tmp_path) == before


def test_crash_between_snapshot_and_log_keeps_the_suffix(
    tmp_path,
    monkeypatch,
):
    write(tmp_path, [append(entry(1), entry(2), entry(3))])
    storage = open_storage(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(
            'cactushead_node.storage.log_file.replace_file',
            _crash,
        )
        with pytest.raises(StorageError):
            perform(storage, SNAPSHOT)
    storage.close()
    stored = reopen_and_load(tmp_path)
    assert stored.snapshot_index == 2
    assert stored.entries == (entry(3),)


def _crash(*_):
    raise OSError('crash')


def test_folder_in_use_is_rejected(tmp_path):
    storage = open_storage(tmp_path)
    with pytest.raises(StorageInUseError):
        open_storage(tmp_path)
    storage.close()
    reopen_and_load(tmp_path)


def test_missing_identity_is_rejected(tmp_path):
    write(tmp_path, [append(entry(1))])
    (tmp_path / 'identity').unlink()
    with pytest.raises(StorageError, match='no identity'):
        open_storage(tmp_path)


@pytest.mark.parametrize('kept', ['vote', 'snapshot'])
def test_missing_log_is_rejected(tmp_path, kept):
    effects = [SaveVote(1, 'a')] if kept == 'vote' else [SNAPSHOT]
    write(tmp_path, effects)
    (tmp_path / 'log').unlink()
    with pytest.raises(StorageError, match='no log'):
        open_storage(tmp_path)


def test_new_folder_is_synced_in_its_parent_folders(tmp_path, monkeypatch):
    synced = []
    monkeypatch.setattr(atomic_file, 'sync_folder', synced.append)
    atomic_file.create_folder(tmp_path / 'a' / 'b')
    assert synced == [tmp_path / 'a', tmp_path]


def test_memory_storage_matches_file_storage(tmp_path):
    memory = MemoryStorage()
    batches = [
        [SaveVote(1, 'a'), append(entry(1), entry(2), entry(3))],
        [SNAPSHOT, append(entry(4))],
        [append(entry(3, term=2))],
    ]
    for batch in batches:
        perform(memory, *batch)
    write(tmp_path, *batches)
    assert memory.load() == reopen_and_load(tmp_path)
