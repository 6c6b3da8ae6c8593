"""Settings, initial state and output of a replica."""

from dataclasses import dataclass, field

from ..effects import Effect, LogEntry
from .notices import Notice


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of a replica.

    Attributes:
        name: Name of this process.
        incarnation: Incarnation of its disk, generated when the disk was
            empty.
        voters: Names of the voters that form the cell; empty if they are
            selected later, or if the cell exists.
        heartbeat_s: Interval between the leader's heartbeats.
        election_timeout_s: Minimum election timeout; the maximum is twice
            as long.
        snapshot_entries: Number of committed entries since the last snapshot
            above which a new one is requested; 0 for one after each commit.
        kept_entries: Entries before a snapshot that are kept in memory for
            followers that are slightly behind.
        seed: Seed of the election timeout's jitter.
        drift: Maximum relative error of a monotonic clock.
        voters_wanted: Number of members up to which processes that aren't
            members are admitted; 0 admits none.
        replace_after_s: Time without a reply after which a member may be
            replaced by another process; longer than a restart.
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
    """Persistent state found on disk when the process started.

    Attributes:
        term: Saved term, 0 for an empty disk.
        voted_for: Saved vote, empty for no vote.
        snapshot_term: Term of the last entry that the snapshot covers.
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
    """Effects for the runtime and notices for the state machine.

    Attributes:
        effects: Effects, in order.
        notices: Notices, in order.
    """

    effects: list[Effect] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
