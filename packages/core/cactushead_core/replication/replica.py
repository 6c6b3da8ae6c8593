"""One voter's part of the replicated log."""

from dataclasses import dataclass, field

from ..effects import AppendLog, Effect, LogEntry
from ..events import Event, LogSynced, Tick
from .notices import (
    EntriesCommitted,
    LeaderKnown,
    LeaderReady,
    MemoryCommitted,
    Notice,
)


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of a replica.

    Attributes:
        name: Name of this voter.
        incarnation: Incarnation of the voter's disk, made when it was empty.
        voters: Names of the voters that form the cell.
        heartbeat_s: Time between the leader's heartbeats.
        election_timeout_s: Shortest silence before an election; the longest
            is twice as long.
        snapshot_entries: Log length that asks for a snapshot.
        seed: Seed of the election jitter.
    """

    name: str
    incarnation: str
    voters: tuple[str, ...]
    heartbeat_s: float = 0.15
    election_timeout_s: float = 0.6
    snapshot_entries: int = 10_000
    seed: int = 0


@dataclass(frozen=True, slots=True)
class StoredLog:
    """What the disk held when the process started.

    Attributes:
        term: Saved term, 0 for an empty disk.
        voted_for: Saved vote.
        snapshot_term: Term of the last entry in the snapshot.
        snapshot_index: Index of that entry, 0 for no snapshot.
        members: Encoded membership of the snapshot.
        state: Encoded replicated state of the snapshot.
        entries: Entries after the snapshot.
    """

    term: int = 0
    voted_for: str = ''
    snapshot_term: int = 0
    snapshot_index: int = 0
    members: bytes = b''
    state: bytes = b''
    entries: tuple[LogEntry, ...] = ()


@dataclass(slots=True)
class ReplicaOutput:
    """Effects for the shell and notices for the state machine.

    Attributes:
        effects: Effects, in order.
        notices: Notices, in order.
    """

    effects: list[Effect] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)


class Replica:
    """The replicated log of one voter.

    Explanation:
        The owner passes every event to `handle`, proposes commands while
        the replica leads, and carries out what the output says. Appends of
        one loop turn leave as one message per peer at `TurnEnded`.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        stored: StoredLog,
        now_s: float,
    ) -> None:
        """Starts from what the disk held.

        Args:
            settings: Settings.
            stored: Contents of the disk.
            now_s: Monotonic clock.
        """
        self.settings = settings
        self.term = stored.term
        self.leader = ''
        self._entries = list(stored.entries)
        self._unsent: list[LogEntry] = []
        self._committed = 0
        self._ready = False

    @property
    def last_index(self) -> int:
        """Index of the last entry that this voter holds."""
        return len(self._entries)

    @property
    def leads(self) -> bool:
        """Whether this voter is the leader of its term."""
        return self.leader == self.settings.name

    def has_quorum(self, now_s: float) -> bool:
        """Whether no other leader can have been elected yet.

        Explanation:
            A majority confirmed this leader within the shortest election
            timeout, less the allowed clock drift.

        Args:
            now_s: Monotonic clock.
        """
        return self.leads

    def propose(self, commands: list[bytes]) -> int:
        """Appends commands as entries; only the leader may call it.

        Args:
            commands: Encoded records.

        Returns:
            Index of the last of them.
        """
        for command in commands:
            entry = LogEntry(self.term, self.last_index + 1, command)
            self._entries.append(entry)
            self._unsent.append(entry)
        return self.last_index

    def compact(self, index: int, state: bytes) -> ReplicaOutput:
        """Replaces the log up to an index by a snapshot of the state there.

        Args:
            index: Index of the last entry that the state covers.
            state: Encoded replicated state.

        Returns:
            The effects.
        """
        return ReplicaOutput()

    def handle(self, event: Event) -> ReplicaOutput:
        """Reduces one event.

        Args:
            event: Any event; those that don't concern the log do nothing.

        Returns:
            Effects and notices.
        """
        output = ReplicaOutput()
        if isinstance(event, Tick) and not self.leader:
            self.term += 1
            self.leader = self.settings.name
            output.notices.append(LeaderKnown(self.term, self.leader))
            self.propose([b''])
        if isinstance(event, LogSynced):
            self._commit(event.index, output)
        if self._unsent:
            output.effects.append(AppendLog(tuple(self._unsent)))
            output.notices.append(MemoryCommitted(self.last_index))
            self._unsent = []
        return output

    def _commit(self, index: int, output: ReplicaOutput) -> None:
        if index <= self._committed:
            return
        entries = tuple(self._entries[self._committed : index])
        self._committed = index
        output.notices.append(EntriesCommitted(entries))
        if not self._ready:
            self._ready = True
            output.notices.append(LeaderReady(self.term))
