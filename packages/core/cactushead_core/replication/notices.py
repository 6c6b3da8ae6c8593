"""Notices from the replicated log to the state machine above it."""

from dataclasses import dataclass

from ..effects import LogEntry


@dataclass(frozen=True, slots=True)
class Notice:
    """Base class of all notices."""


@dataclass(frozen=True, slots=True)
class LeaderKnown(Notice):
    """The known leader of the current term has changed.

    Attributes:
        term: The term.
        leader: Name of the leader, empty if it is unknown.
    """

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class LeaderReady(Notice):
    """This process leads and has committed all entries of earlier terms.

    Explanation:
        Follows the `EntriesCommitted` notice that covers the first entry of
        the term. The state machine may make decisions only from then on.

    Attributes:
        term: The term.
    """

    term: int


@dataclass(frozen=True, slots=True)
class LeaderLost(Notice):
    """This process is no longer leader; its decisions have no effect."""

    term: int


@dataclass(frozen=True, slots=True)
class MemoryCommitted(Notice):
    """A majority holds the entries up to an index at least in memory.

    Attributes:
        index: Index of the last such entry.
    """

    index: int


@dataclass(frozen=True, slots=True)
class EntriesCommitted(Notice):
    """A majority has synced these entries; reported once each, in order.

    Attributes:
        entries: The entries; one with an empty command changes no state.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SnapshotInstalled(Notice):
    """A snapshot from disk or the leader replaces the state machine.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        state: Encoded replicated state.
    """

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class SnapshotNeeded(Notice):
    """The log exceeds its limit; the owner should call `Replica.compact`."""
