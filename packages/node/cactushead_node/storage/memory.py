"""In-memory storage for tests and experiments."""

import dataclasses
import uuid
from collections.abc import Sequence

from cactushead_core.effects import (
    AppendLog,
    Effect,
    LogEntry,
    SaveSnapshot,
    SaveVote,
)
from cactushead_core.replication import StoredLog

from .log_file import entries_after
from .storage import Storage


class MemoryStorage(Storage):
    """Keeps the state in memory; it is lost when the process exits."""

    def __init__(self) -> None:
        """Creates an empty storage with a new identity."""
        self._incarnation = uuid.uuid4().hex
        self._stored = StoredLog()
        self._entries: list[LogEntry] = []

    @property
    def incarnation(self) -> str:
        """Identity of the storage."""
        return self._incarnation

    def _load(self) -> StoredLog:
        return dataclasses.replace(
            self._stored,
            entries=tuple(self._entries),
        )

    def _perform(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._save(effect)

    def _save(self, effect: Effect) -> None:
        if isinstance(effect, AppendLog):
            kept_count = (
                effect.entries[0].index - self._stored.snapshot_index - 1
            )
            del self._entries[kept_count:]
            self._entries.extend(effect.entries)
        elif isinstance(effect, SaveVote):
            self._stored = dataclasses.replace(
                self._stored,
                term=effect.term,
                voted_for=effect.voted_for,
            )
        elif isinstance(effect, SaveSnapshot):
            self._save_snapshot(effect)

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        self._entries = entries_after(
            self._entries,
            effect.term,
            effect.index,
        )
        self._stored = dataclasses.replace(
            self._stored,
            snapshot_term=effect.term,
            snapshot_index=effect.index,
            members=effect.members,
            state=effect.state,
        )

    def _close(self) -> None:
        """Does nothing, since there are no files to close."""
