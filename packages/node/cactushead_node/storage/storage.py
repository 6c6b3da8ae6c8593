"""Interface of the durable storage of a voter."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import trio
from cactushead_core.effects import (
    AppendLog,
    Effect,
    SaveSnapshot,
    SaveVote,
)
from cactushead_core.events import (
    Event,
    LogSynced,
    SnapshotSaved,
    VoteSaved,
)
from cactushead_core.replication import StoredLog

Clock = Callable[[], float]


class Storage(ABC):
    """Durable state of one voter.

    Explanation:
        Effects are written in their order, so that an entry is never on
        disk before its term. Consecutive appends share one sync. The caller
        performs one batch at a time.
    """

    @property
    @abstractmethod
    def incarnation(self) -> str:
        """Identity of the disk, generated when it was empty."""

    @property
    def is_from_first_start(self) -> bool:
        """Whether the disk was empty when its fleet started, and not since."""
        return False

    def load(self) -> StoredLog:
        """Returns the state that was stored when the storage was opened.

        Raises:
            StorageError: The contents are unreadable or damaged.
        """
        return self._load()

    async def perform(
        self,
        effects: Sequence[Effect],
        now: Clock,
    ) -> list[Event]:
        """Makes effects durable, in a worker thread.

        Args:
            effects: `AppendLog`, `SaveVote` and `SaveSnapshot` effects.
            now: Monotonic clock, in seconds, for the returned events.

        Returns:
            One event per vote and snapshot, and one for the last append.

        Raises:
            StorageError: The effects may or may not be durable; the process
                must not continue.
        """
        await trio.to_thread.run_sync(self._perform, tuple(effects))
        return _make_completion_events(effects, now())

    def close(self) -> None:
        """Releases the storage, which must not be used afterwards."""
        self._close()

    @abstractmethod
    def _load(self) -> StoredLog:
        """Returns the stored state."""

    @abstractmethod
    def _perform(self, effects: Sequence[Effect]) -> None:
        """Makes effects durable; blocks until they have been synced."""

    @abstractmethod
    def _close(self) -> None:
        """Releases open files and locks."""


def _make_completion_events(
    effects: Sequence[Effect], now_s: float
) -> list[Event]:
    """Returns the events that report effects as durable."""
    events: list[Event] = []
    synced = None
    for effect in effects:
        if isinstance(effect, AppendLog):
            last = effect.entries[-1]
            synced = LogSynced(now_s, last.term, last.index)
        elif isinstance(effect, SaveVote):
            events.append(VoteSaved(now_s, effect.term, effect.voted_for))
        elif isinstance(effect, SaveSnapshot):
            events.append(SnapshotSaved(now_s, effect.term, effect.index))
    if synced is not None:
        events.append(synced)
    return events
