"""What the parts of a leader share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..config import EntryConfig
from ..effects import Count, Effect, Send
from ..messages.base import Message
from ..messages.codec import encode_message
from ..replication import Replica
from ..scheduling import Scheduler
from .commits import CommitQueue
from .state import ReplicatedState

OnCommit = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record on its way into the log.

    Attributes:
        record: The record.
        on_commit: Called with the clock once the record counts, or None.
        synced: Whether it counts only when a majority has synced it.
        on_synced: Called with the clock once a majority has synced it.
    """

    record: Message
    on_commit: OnCommit | None = None
    synced: bool = True
    on_synced: OnCommit | None = None


@dataclass(slots=True)
class LeaderContext:
    """One term of a leader: its log, its scheduler and its outbox.

    Attributes:
        config: Configuration of the entry.
        term: The leader's term.
        replica: The replicated log.
        state: The replicated state.
        scheduler: The scheduler of this term.
        admissions: Admissions of the turn; they precede all records that
            may be about their jobs.
        proposals: Other records that leave at the end of the turn.
        registrations: Changes of the registered agents; they follow the ends
            of the jobs that they cause.
        commits: Decisions that wait for a commit.
        own_records: Records that this leader proposed, by their commands,
            until they are committed.
        effects: Effects for the shell.
        memory_index: Last index that a majority holds in memory.
        synced_index: Last index that a majority has synced.
    """

    config: EntryConfig
    term: int
    replica: Replica
    state: ReplicatedState
    scheduler: Scheduler
    admissions: list[Proposal] = field(default_factory=list)
    proposals: list[Proposal] = field(default_factory=list)
    registrations: list[Proposal] = field(default_factory=list)
    commits: CommitQueue[OnCommit] = field(default_factory=CommitQueue)
    own_records: dict[bytes, Message] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)
    memory_index: int = 0
    synced_index: int = 0

    def send(self, peer: str, message: Message) -> None:
        """Adds a message to the outbox.

        Args:
            peer: Name of the receiver.
            message: The message.
        """
        self.effects.append(Send(peer, message))

    def propose(self, proposal: Proposal) -> None:
        """Adds a record to those that leave at the end of the turn.

        Args:
            proposal: The record and what follows its commit.
        """
        self.proposals.append(proposal)

    @property
    def has_proposals(self) -> bool:
        """Whether records leave at the end of the turn."""
        return bool(self.admissions or self.proposals or self.registrations)

    def flush_proposals(self) -> None:
        """Hands the turn's records to the log."""
        proposals = self.admissions + self.proposals + self.registrations
        if not proposals:
            return
        self.admissions = []
        self.proposals = []
        self.registrations = []
        self.effects.append(Count('log_records', amount=len(proposals)))
        commands = [encode_message(proposal.record) for proposal in proposals]
        for command, proposal in zip(commands, proposals, strict=True):
            self.own_records[command] = proposal.record
        levels = {
            waiting.synced
            for waiting in proposals
            if waiting.on_commit is not None
        }
        last_index = self.replica.propose(
            commands,
            memory_ack_requested=False in levels,
            sync_ack_requested=True in levels,
        )
        index = last_index - len(commands)
        for proposal in proposals:
            index += 1
            if proposal.on_commit is not None:
                self.commits.wait(
                    index,
                    proposal.on_commit,
                    synced=proposal.synced,
                )
            if proposal.on_synced is not None:
                self.commits.wait(index, proposal.on_synced, synced=True)

    def release_commits(self, now_s: float) -> None:
        """Carries out the decisions whose records count by now.

        Args:
            now_s: Monotonic clock.
        """
        released = self.commits.advance(self.memory_index, self.synced_index)
        for on_commit in released:
            on_commit(now_s)
