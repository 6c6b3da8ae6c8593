"""Tests of the data folder."""

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
    open_storage,
    replaced,
)


def entry(index, term=1, command=None):
    return LogEntry(term, index, command or b'command %d' % index)


def append(*entries):
    return AppendLog(tuple(entries))


def perform(storage, *effects):
    return trio.run(storage.perform, effects, time.monotonic)


def reopened(folder):
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


def test_empty_folder_is_an_empty_log(tmp_path):
    assert reopened(tmp_path / 'data') == StoredLog()


def test_incarnation_is_kept(tmp_path):
    first = open_storage(tmp_path)
    first.close()
    second = open_storage(tmp_path)
    assert first.incarnation == second.incarnation
    second.close()


def test_events_confirm_the_effects(tmp_path):
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
    assert reopened(tmp_path).entries == expected


def test_snapshot_drops_the_prefix(tmp_path):
    appended = append(entry(1), entry(2), entry(3))
    write(tmp_path, [SaveVote(1, 'b'), appended], [SNAPSHOT])
    expected = StoredLog(1, 'b', 1, 2, b'members', b'state', (entry(3),))
    assert reopened(tmp_path) == expected


def test_snapshot_that_disagrees_drops_the_whole_log(tmp_path):
    appended = append(entry(1), entry(2), entry(3))
    write(tmp_path, [appended], [SaveSnapshot(2, 2, b'', b'')])
    assert reopened(tmp_path).entries == ()


def test_appends_go_on_behind_a_snapshot(tmp_path):
    write(
        tmp_path,
        [append(entry(1), entry(2), entry(3)), SNAPSHOT],
        [append(entry(4))],
        [append(entry(4, term=2))],
    )
    assert reopened(tmp_path).entries == (entry(3), entry(4, term=2))


def test_torn_tail_is_cut_at_every_offset(tmp_path):
    write(tmp_path, [append(entry(1))])
    kept = (tmp_path / 'log').stat().st_size
    write(tmp_path, [append(entry(2), entry(3))])
    image = (tmp_path / 'log').read_bytes()
    for size in range(kept, len(image)):
        (tmp_path / 'log').write_bytes(image[:size])
        assert reopened(tmp_path).entries == (entry(1),)
        assert (tmp_path / 'log').stat().st_size == kept


def test_zeros_behind_the_log_are_cut(tmp_path):
    write(tmp_path, [append(entry(1))])
    with (tmp_path / 'log').open('ab') as stream:
        stream.write(bytes(4096))
    assert reopened(tmp_path).entries == (entry(1),)


def test_flipped_byte_before_a_good_record_is_refused(tmp_path):
    write(tmp_path, [append(entry(1))])
    start = (tmp_path / 'log').stat().st_size
    write(tmp_path, [append(entry(2))])
    end = (tmp_path / 'log').stat().st_size
    write(tmp_path, [append(entry(3))])
    image = (tmp_path / 'log').read_bytes()
    for offset in range(start, end):
        damaged = bytearray(image)
        damaged[offset] ^= 0x10
        (tmp_path / 'log').write_bytes(damaged)
        with pytest.raises(CorruptRecordError) as caught:
            open_storage(tmp_path)
        assert caught.value.offset_bytes == start
        assert caught.value.path == str(tmp_path / 'log')


def test_command_that_looks_like_a_record_is_none(tmp_path):
    write(tmp_path, [append(entry(1))])
    lure = (tmp_path / 'log').read_bytes()
    other = tmp_path / 'other'
    write(other, [append(entry(1, command=lure))])
    image = bytearray((other / 'log').read_bytes())
    image[0] ^= 1
    (other / 'log').write_bytes(image)
    assert reopened(other).entries == ()


@pytest.mark.parametrize('name', ['vote', 'snapshot', 'identity'])
def test_damaged_small_file_is_refused(tmp_path, name):
    write(tmp_path, [SaveVote(1, 'a'), append(entry(1), entry(2)), SNAPSHOT])
    image = bytearray((tmp_path / name).read_bytes())
    image[-1] ^= 1
    (tmp_path / name).write_bytes(image)
    with pytest.raises(CorruptRecordError, match=name):
        reopened(tmp_path)


def test_crash_before_the_rename_leaves_the_old_snapshot(tmp_path, monkeypatch):
    write(tmp_path, [append(entry(1), entry(2), entry(3)), SNAPSHOT])
    before = reopened(tmp_path)
    storage = open_storage(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(replaced.Path, 'replace', _crash)
        with pytest.raises(StorageError):
            perform(storage, SaveSnapshot(1, 3, b'', b'newer'))
    storage.close()
    assert (tmp_path / 'snapshot.tmp').exists()
    assert reopened(tmp_path) == before


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
    stored = reopened(tmp_path)
    assert stored.snapshot_index == 2
    assert stored.entries == (entry(3),)


def _crash(*_):
    raise OSError('crash')


def test_folder_in_use_is_refused(tmp_path):
    storage = open_storage(tmp_path)
    with pytest.raises(StorageInUseError):
        open_storage(tmp_path)
    storage.close()
    reopened(tmp_path)


def test_lost_identity_is_refused(tmp_path):
    write(tmp_path, [append(entry(1))])
    (tmp_path / 'identity').unlink()
    with pytest.raises(StorageError, match='no identity'):
        open_storage(tmp_path)


@pytest.mark.parametrize('kept', ['vote', 'snapshot'])
def test_lost_log_is_refused(tmp_path, kept):
    effects = [SaveVote(1, 'a')] if kept == 'vote' else [SNAPSHOT]
    write(tmp_path, effects)
    (tmp_path / 'log').unlink()
    with pytest.raises(StorageError, match='no log'):
        open_storage(tmp_path)


def test_new_folder_is_synced_in_its_parents(tmp_path, monkeypatch):
    synced = []
    monkeypatch.setattr(replaced, 'sync_folder', synced.append)
    replaced.make_folder(tmp_path / 'a' / 'b')
    assert synced == [tmp_path / 'a', tmp_path]


def test_memory_storage_agrees_with_the_files(tmp_path):
    memory = MemoryStorage()
    batches = [
        [SaveVote(1, 'a'), append(entry(1), entry(2), entry(3))],
        [SNAPSHOT, append(entry(4))],
        [append(entry(3, term=2))],
    ]
    for batch in batches:
        perform(memory, *batch)
    write(tmp_path, *batches)
    assert memory.load() == reopened(tmp_path)
