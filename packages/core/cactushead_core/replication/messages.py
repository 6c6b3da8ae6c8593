"""Messages between voters, and the log record of a membership change."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """A disk that is a voter or learner of the replicated log.

    Attributes:
        name: Name of the process.
        incarnation: Incarnation of its disk.
        votes: Whether it is a voter; else it is a learner, which receives
            entries but does not count in majorities.
    """

    name: str
    incarnation: str
    votes: bool


@wire_type(60)
@dataclass(frozen=True, slots=True)
class MembershipQuery(Message):
    """A request for the current membership.

    Explanation:
        Sent by a process that is no voter or has lost contact with its
        leader. The leader also treats it as a request to join.

    Attributes:
        name: Name of the process.
        incarnation: Incarnation of its disk.
        voters: The voters with which it may form a cell; empty for none.
        query_id: Identifier of the query round.
    """

    name: str
    incarnation: str
    voters: tuple[str, ...]
    query_id: str


@wire_type(61)
@dataclass(frozen=True, slots=True)
class MembershipReply(Message):
    """The reply to `MembershipQuery`.

    Attributes:
        name: Name of the replying process.
        incarnation: Incarnation of its disk.
        query_id: `query_id` of the query.
        formation: Command of the log's first entry, empty if the log is
            empty or its first entry was discarded.
        members: The membership; empty for an empty disk.
    """

    name: str
    incarnation: str
    query_id: str
    formation: bytes
    members: tuple[Member, ...]


@wire_type(62)
@dataclass(frozen=True, slots=True)
class VoteRequest(Message):
    """A request for a vote or pre-vote.

    Attributes:
        term: The candidate's term; in a pre-vote, the next term.
        candidate: Name of the candidate.
        incarnation: Incarnation of the receiver's disk, as the candidate's
            membership lists it among the voters.
        last_term: Term of the candidate's last entry.
        last_index: Index of the candidate's last entry.
        pre_vote: Whether this is a pre-vote, which changes no term or vote.
        leadership_transfer: Whether the previous leader requested the
            election and has released its leader lease.
    """

    term: int
    candidate: str
    incarnation: str
    last_term: int
    last_index: int
    pre_vote: bool
    leadership_transfer: bool = False


@wire_type(63)
@dataclass(frozen=True, slots=True)
class VoteReply(Message):
    """The reply to `VoteRequest`.

    Attributes:
        term: Term of the request if granted, else the voter's term.
        voter: Name of the voter.
        incarnation: Incarnation of its disk.
        granted: Whether the vote is granted.
        pre_vote: Whether the request was a pre-vote.
    """

    term: int
    voter: str
    incarnation: str
    granted: bool
    pre_vote: bool


@wire_type(64)
@dataclass(frozen=True, slots=True)
class AppendEntries(Message):
    """Entries of one term from the leader; a heartbeat without entries.

    Attributes:
        term: The leader's term.
        leader: Name of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entry_term: Term of all entries sent, 0 for a heartbeat.
        commands: Commands of the entries.
        committed_index: Index up to which a majority has synced.
        memory_ack_requested: Whether to acknowledge the entries as soon as
            they are in memory.
        sync_ack_requested: Whether to acknowledge the entries once they are
            synced.
        sequence: Sequence number of the message to this receiver and term.
        sent_s: Time of sending by the leader's monotonic clock.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entry_term: int
    commands: tuple[bytes, ...]
    committed_index: int
    memory_ack_requested: bool
    sync_ack_requested: bool
    sequence: int
    sent_s: float


@wire_type(65)
@dataclass(frozen=True, slots=True)
class AppendReply(Message):
    """The reply to `AppendEntries`, a complete snapshot or a stale leader.

    Attributes:
        term: The follower's term.
        follower: Name of the follower.
        incarnation: Incarnation of its disk.
        match_index: Index up to which its log in memory matches the leader's.
        synced_index: Index up to which that log is synced to its disk.
        rejected_index: `previous_index` at which the logs differ, 0 for none.
        hint_index: After a rejection, an index up to which logs may match.
        sequence: Highest sequence number received from the leader.
        echo_s: `sent_s` of that message.
    """

    term: int
    follower: str
    incarnation: str
    match_index: int
    synced_index: int
    rejected_index: int
    hint_index: int
    sequence: int
    echo_s: float


@wire_type(66)
@dataclass(frozen=True, slots=True)
class InstallSnapshot(Message):
    """A chunk of a snapshot, for a follower that lacks discarded entries.

    Attributes:
        term: The leader's term.
        leader: Name of the leader.
        snapshot_term: Term of the last entry that the snapshot covers.
        snapshot_index: Index of that entry.
        members: Encoded membership at that index.
        size_bytes: Total size of the encoded state.
        offset_bytes: Offset of this chunk in the encoded state.
        chunk: The bytes of this chunk.
        sequence: Sequence number of the message to this receiver and term.
        sent_s: Time of sending by the leader's monotonic clock.
    """

    term: int
    leader: str
    snapshot_term: int
    snapshot_index: int
    members: bytes
    size_bytes: int
    offset_bytes: int
    chunk: bytes
    sequence: int
    sent_s: float


@wire_type(67)
@dataclass(frozen=True, slots=True)
class SnapshotReply(Message):
    """The reply to `InstallSnapshot` while chunks are missing.

    Attributes:
        term: The follower's term.
        follower: Name of the follower.
        incarnation: Incarnation of its disk.
        snapshot_index: Index of the snapshot.
        received_bytes: Number of bytes received from the start.
        sequence: Highest sequence number received from the leader.
        echo_s: `sent_s` of that message.
    """

    term: int
    follower: str
    incarnation: str
    snapshot_index: int
    received_bytes: int
    sequence: int
    echo_s: float


@wire_type(68)
@dataclass(frozen=True, slots=True)
class MembershipChanged(Message):
    """Log record of a membership change: the members from this entry on.

    Attributes:
        members: Voters and learners.
    """

    members: tuple[Member, ...]


@wire_type(69)
@dataclass(frozen=True, slots=True)
class TimeoutNow(Message):
    """Leadership transfer: asks a voter to start an election at once.

    Attributes:
        term: Term of the leader, which has released its leader lease.
    """

    term: int
