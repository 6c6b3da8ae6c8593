"""What the replicated log tells the state machine above it."""

from dataclasses import dataclass

from ..effects import LogEntry


@dataclass(frozen=True, slots=True)
class Notice:
    """Base class of all notices."""


@dataclass(frozen=True, slots=True)
class LeaderKnown(Notice):
    """The leader of the present term is known, or is this process.

    Attributes:
        term: The term.
        leader: Name of the leader, empty when it is unknown again.
    """

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class LeaderReady(Notice):
    """This process leads and all entries of earlier terms are committed.

    Explanation:
        Given after the `EntriesCommitted` notice that covers the first entry
        of the term. Only from here on may the state machine decide.

    Attributes:
        term: The term.
    """

    term: int


@dataclass(frozen=True, slots=True)
class LeaderLost(Notice):
    """This process leads no more; its decisions are void."""

    term: int


@dataclass(frozen=True, slots=True)
class MemoryCommitted(Notice):
    """A majority holds the entries up to an index, perhaps unsynced.

    Attributes:
        index: Index of the last such entry.
    """

    index: int


@dataclass(frozen=True, slots=True)
class EntriesCommitted(Notice):
    """A majority has synced these entries; given once each, in order.

    Attributes:
        entries: The entries; an empty command carries nothing.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled(Notice):
    """The state machine is replaced by a snapshot of the leader.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        state: Encoded replicated state.
    """

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class SnapshotNeeded(Notice):
    """The log is long; the state machine should call `Replica.compact`."""
