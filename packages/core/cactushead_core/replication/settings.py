"""What a replica starts from and what it returns."""

from dataclasses import dataclass, field

from ..effects import Effect, LogEntry
from .notices import Notice


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
        snapshot_entries: Log length that asks for a snapshot when it is
            passed; 0 for one after each commit.
        kept_entries: Entries before a snapshot that stay in memory, for
            followers that are a little behind.
        seed: Seed of the election jitter.
        drift: Largest relative error of a monotonic clock.
        voters_wanted: Number of members up to which processes that aren't
            listed are admitted; 0 admits none.
        replace_after_s: Silence of a member after which another process
            may take its place; longer than a restart.
    """

    name: str
    incarnation: str
    voters: tuple[str, ...]
    heartbeat_s: float = 0.15
    election_timeout_s: float = 0.6
    snapshot_entries: int = 10_000
    kept_entries: int = 5_000
    seed: int = 0
    drift: float = 0.01
    voters_wanted: int = 0
    replace_after_s: float = 2.0


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
