"""What all parts of a replica share."""

from dataclasses import dataclass
from enum import StrEnum

from ..effects import AppendLog, SaveSnapshot, SaveVote, Send
from ..messages.base import Message
from .disk import DiskProgress
from .invariants import require
from .log import Log
from .membership import MembershipHistory, decode_members, is_voter
from .notices import (
    EntriesCommitted,
    LeaderKnown,
    LeaderLost,
    SnapshotInstalled,
)
from .settings import ReplicaOutput, ReplicaSettings, StoredLog


class Role(StrEnum):
    """The part that a replica plays in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A replicated state and the entry that it stands at.

    Attributes:
        term: Term of the entry.
        index: Its index, 0 for no snapshot.
        members: Encoded membership.
        state: Encoded replicated state.
    """

    term: int
    index: int
    members: bytes
    state: bytes


@dataclass(slots=True)
class RequestedAcks:
    """Last entries that decisions of the leader wait for.

    Attributes:
        memory_index: Last entry that a majority shall hold.
        synced_index: Last entry that a majority shall have synced.
    """

    memory_index: int = 0
    synced_index: int = 0


class ReplicaState:
    """Term, vote, log and membership, with the rules that guard them."""

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
        self.now_s = now_s
        self.output = ReplicaOutput()
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = Role.FOLLOWER
        self.leader = ''
        self._term_leader = ''
        self.snapshot = Snapshot(
            stored.snapshot_term,
            stored.snapshot_index,
            stored.members,
            stored.state,
        )
        self.snapshot_pending = False
        self.requested_acks = RequestedAcks()
        self.log = Log(
            stored.snapshot_index,
            stored.snapshot_term,
            stored.entries,
        )
        self.disk = DiskProgress(self.log.last_index)
        self.committed_index = stored.snapshot_index
        self.membership = MembershipHistory(
            stored.snapshot_index,
            decode_members(stored.members),
        )
        self.membership.record_changes(stored.entries)
        self._check_stored()

    @property
    def is_voter(self) -> bool:
        """Whether this disk counts in majorities, as far as it knows."""
        settings = self.settings
        members = self.membership.members
        return is_voter(members, settings.name, settings.incarnation)

    @property
    def is_empty(self) -> bool:
        """Whether the log was never part of a formed cell."""
        return self.log.last_index == 0

    def take_output(self) -> ReplicaOutput:
        """Returns the effects and notices so far and starts anew."""
        output = self.output
        self.output = ReplicaOutput()
        return output

    def send(self, peer: str, message: Message) -> None:
        """Sends a message to a peer."""
        self.output.effects.append(Send(peer, message))

    def enter_term(self, term: int, voted_for: str = '') -> None:
        """Moves to a higher term and saves it.

        Args:
            term: The term.
            voted_for: The vote in it, if it is cast at once.
        """
        require(term > self.term, f'term {term} follows {self.term}')
        self.term = term
        self.voted_for = voted_for
        self._term_leader = ''
        self.output.effects.append(SaveVote(term, voted_for))

    def cast_vote(self, candidate: str) -> None:
        """Votes in the present term and saves the vote.

        Args:
            candidate: Name of the candidate.
        """
        require(
            not self.voted_for,
            f'vote for {candidate} in term {self.term} follows one for'
            f' {self.voted_for}',
        )
        self.voted_for = candidate
        self.output.effects.append(SaveVote(self.term, candidate))

    def become_follower(self, term: int, voted_for: str = '') -> None:
        """Becomes a follower without a known leader.

        Args:
            term: The present term or a higher one.
            voted_for: The vote in a higher term, if it is cast at once.
        """
        if self.role is Role.LEADER:
            self.output.notices.append(LeaderLost(self.term))
        self.role = Role.FOLLOWER
        knew_leader = bool(self.leader)
        self.leader = ''
        if term > self.term:
            self.enter_term(term, voted_for)
        if knew_leader:
            self.output.notices.append(LeaderKnown(self.term, ''))

    def learn_leader(self, leader: str) -> None:
        """Notes the leader of the present term.

        Args:
            leader: Its name.
        """
        if leader == self.leader:
            return
        require(
            self._term_leader in {'', leader},
            f'{leader} and {self._term_leader} lead term {self.term}',
        )
        self._term_leader = leader
        self.leader = leader
        self.output.notices.append(LeaderKnown(self.term, leader))

    def truncate_log(self, index: int) -> None:
        """Drops a conflicting tail.

        Args:
            index: Index of its first entry.
        """
        require(
            index > self.committed_index,
            f'cut from {index} goes below commit {self.committed_index}',
        )
        require(self.role is not Role.LEADER, 'a leader cuts its log')
        self.log.truncate_from(index)
        self.disk.truncated_from(index)
        self.membership.truncate_from(index)

    def write_log(self) -> None:
        """Asks the disk for the entries that it wasn't given yet."""
        first = self.disk.unwritten_index
        last = self.log.last_index
        if first > last:
            return
        entries = tuple(self.log.between(first, last))
        self.disk.append_started(entries)
        self.output.effects.append(AppendLog(entries))

    def commit_to(self, index: int) -> None:
        """Gives the entries up to an index to the state machine.

        Args:
            index: Index that a majority has synced.
        """
        if index <= self.committed_index:
            return
        require(
            index <= self.log.last_index,
            f'commit {index} is behind the last entry {self.log.last_index}',
        )
        entries = self.log.between(self.committed_index + 1, index)
        self.committed_index = index
        self.output.notices.append(EntriesCommitted(tuple(entries)))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Asks the disk for a snapshot; the log before it must be written.

        Args:
            snapshot: The snapshot.
        """
        self.write_log()
        self.snapshot = snapshot
        self.snapshot_pending = True
        self.output.effects.append(
            SaveSnapshot(
                snapshot.term,
                snapshot.index,
                snapshot.members,
                snapshot.state,
            ),
        )

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces state machine and log by a leader's snapshot.

        Args:
            snapshot: A snapshot ahead of the commit index.
        """
        index = snapshot.index
        require(
            index > self.committed_index,
            f'snapshot {index} goes below commit {self.committed_index}',
        )
        log = self.log
        if not log.holds(index) or log.term_at(index) != snapshot.term:
            self.disk.replaced_by_snapshot(index, self.committed_index)
            log.reset(index, snapshot.term)
            members = decode_members(snapshot.members)
            self.membership = MembershipHistory(index, members)
        self.committed_index = index
        self.save_snapshot(snapshot)
        self._notify_snapshot_installed()

    def notify_stored_snapshot(self) -> None:
        """Gives the snapshot that the disk held to the state machine."""
        if self.snapshot.index:
            self._notify_snapshot_installed()

    def snapshot_saved(self, term: int, index: int) -> None:
        """Takes a `SnapshotSaved` event and drops old entries.

        Explanation:
            Some entries before the snapshot stay in memory, for followers
            that are a little behind.

        Args:
            term: Term of the last entry that the snapshot covers.
            index: Its index.
        """
        self.disk.snapshot_saved(index)
        if (term, index) != (self.snapshot.term, self.snapshot.index):
            return
        self.snapshot_pending = False
        kept = self.settings.kept_entries
        self.log.discard_to(min(index, self.log.last_index) - kept)
        self.membership.discard_to(self.log.base_index)

    def _notify_snapshot_installed(self) -> None:
        notice = SnapshotInstalled(self.snapshot.index, self.snapshot.state)
        self.output.notices.append(notice)

    def _check_stored(self) -> None:
        last_term = self.log.last_term
        require(
            self.term >= last_term,
            f'stored term {self.term} is below entry term {last_term}',
        )
