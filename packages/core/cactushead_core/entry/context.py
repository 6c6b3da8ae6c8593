"""State that the components of a leader share during one term."""

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
    """A record to append to the log, with callbacks for its commit.

    Attributes:
        record: The record.
        on_commit: Called with the monotonic clock once the record is
            committed at its level, or None.
        synced: Whether that level is sync by a majority; otherwise a
            majority that holds the record in memory is enough.
        on_synced: Called with the monotonic clock once a majority has synced
            the record, or None.
    """

    record: Message
    on_commit: OnCommit | None = None
    synced: bool = True
    on_synced: OnCommit | None = None


@dataclass(slots=True)
class LeaderContext:
    """Log, scheduler, pending proposals and effects of a leader's term.

    Attributes:
        config: Configuration of the entry.
        term: The leader's term.
        replica: The replicated log.
        state: The replicated state.
        scheduler: The scheduler of this term.
        admissions: Admissions that are proposed at the end of the turn. They
            precede all other records, which may refer to their jobs.
        proposals: Other records that are proposed at the end of the turn.
        registrations: Registrations and deregistrations of agents. They
            follow the other records, so that a leader that finds the loss of
            an agent also finds the ends of the jobs that it caused.
        commits: Callbacks that wait for the commit of their records.
        proposed_records: Records that this leader proposed and that are not
            yet applied, by their encoded commands; saves decoding them.
        effects: Effects that the shell performs.
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
    proposed_records: dict[bytes, Message] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)
    memory_index: int = 0
    synced_index: int = 0

    def send(self, peer: str, message: Message) -> None:
        """Adds the effect of sending a message.

        Args:
            peer: Name of the receiver.
            message: The message.
        """
        self.effects.append(Send(peer, message))

    def propose(self, proposal: Proposal) -> None:
        """Adds a record to propose at the end of the turn.

        Args:
            proposal: The record and its callbacks.
        """
        self.proposals.append(proposal)

    @property
    def has_proposals(self) -> bool:
        """Whether any record is to be proposed at the end of the turn."""
        return bool(self.admissions or self.proposals or self.registrations)

    def flush_proposals(self) -> None:
        """Proposes the records of the turn to the replicated log.

        Explanation:
            The order is admissions, other records, registrations.
        """
        proposals = self.admissions + self.proposals + self.registrations
        if not proposals:
            return
        self.admissions = []
        self.proposals = []
        self.registrations = []
        self.effects.append(Count('log_records', amount=len(proposals)))
        commands = [encode_message(proposal.record) for proposal in proposals]
        for command, proposal in zip(commands, proposals, strict=True):
            self.proposed_records[command] = proposal.record
        levels = {
            candidate.synced
            for candidate in proposals
            if candidate.on_commit is not None
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
                self.commits.add(
                    index,
                    proposal.on_commit,
                    synced=proposal.synced,
                )
            if proposal.on_synced is not None:
                self.commits.add(index, proposal.on_synced, synced=True)

    def release_commits(self, now_s: float) -> None:
        """Calls the callbacks of the records that are committed by now.

        Args:
            now_s: Monotonic clock.
        """
        released = self.commits.advance(self.memory_index, self.synced_index)
        for on_commit in released:
            on_commit(now_s)
