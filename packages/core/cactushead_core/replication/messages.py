"""Messages between voters, and the log record of a membership change."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """One disk that takes part in the replicated log.

    Attributes:
        name: Name of the process.
        incarnation: Incarnation of its disk.
        votes: Whether it counts in majorities; a learner doesn't.
    """

    name: str
    incarnation: str
    votes: bool


@wire_type(60)
@dataclass(frozen=True, slots=True)
class MembershipQuery(Message):
    """A process without a membership, or without a leader, asks for it.

    Attributes:
        name: Name of the process.
        incarnation: Incarnation of its disk.
        voters: The voters that its settings list.
        query_id: Identity of the question.
    """

    name: str
    incarnation: str
    voters: tuple[str, ...]
    query_id: str


@wire_type(61)
@dataclass(frozen=True, slots=True)
class MembershipReply(Message):
    """The answer to `MembershipQuery`.

    Attributes:
        name: Name of the answering process.
        incarnation: Incarnation of its disk.
        query_id: Identity of the question.
        formation: Command of the log's first entry, empty when the log is
            empty or its start is dropped.
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
    """A candidate asks for a vote.

    Attributes:
        term: The candidate's term; in a pre-vote the term that it would
            enter.
        candidate: Name of the candidate.
        incarnation: Incarnation of the receiver's disk, as the candidate's
            membership lists it among the voters.
        last_term: Term of its last entry.
        last_index: Index of its last entry.
        pre_vote: Whether it only asks if it could win.
        handed_over: Whether the leader of the term before asked for the
            election, and has given up its lease.
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
    """The answer to `VoteRequest`.

    Attributes:
        term: Term of the request when granted, else the voter's term.
        voter: Name of the voter.
        incarnation: Incarnation of its disk.
        granted: Whether it votes for the candidate.
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
    """The leader sends entries of one term, or a heartbeat.

    Attributes:
        term: The leader's term.
        leader: Name of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Its term.
        entry_term: Term of all entries sent.
        commands: Commands of the entries.
        committed_index: Index up to which a majority has synced.
        memory_wanted: Whether a decision waits until the entries are held.
        synced_wanted: Whether a decision waits until they are synced.
        sequence: Number of the message to this receiver in this term.
        sent_s: The leader's monotonic clock.
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
    """A follower's answer to the leader.

    Attributes:
        term: The follower's term.
        follower: Name of the follower.
        incarnation: Incarnation of its disk.
        match_index: Index up to which it holds the leader's log in memory.
        synced_index: Index up to which it holds that log on disk.
        rejected_index: `previous_index` that it doesn't hold, 0 for none.
        hint_index: After a rejection, where the logs may agree.
        sequence: Number of the newest message that it answers.
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
    """A part of a snapshot, for a follower far behind.

    Attributes:
        term: The leader's term.
        leader: Name of the leader.
        snapshot_term: Term of the last entry that the snapshot covers.
        snapshot_index: Its index.
        members: Encoded membership at that index.
        size_bytes: Size of the whole state.
        offset_bytes: Where this part starts.
        part: The bytes of this part.
        sequence: Number of the message to this receiver in this term.
        sent_s: The leader's monotonic clock.
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
    """The follower tells how much of a snapshot it has.

    Attributes:
        term: The follower's term.
        follower: Name of the follower.
        incarnation: Incarnation of its disk.
        snapshot_index: Index of the snapshot.
        received_bytes: Bytes that it has from the start.
        sequence: Number of the message that it answers.
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
    """Log record: the members from this entry on.

    Attributes:
        members: Voters and learners, ordered by name.
    """

    members: tuple[Member, ...]


@wire_type(69)
@dataclass(frozen=True, slots=True)
class TimeoutNow(Message):
    """A leader that stops asks a voter to stand for election at once.

    Attributes:
        term: The leader's term; its lease is over.
    """

    term: int
