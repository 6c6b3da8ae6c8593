"""State that the components of a replica share."""

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
    """Role of a replica in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A replicated state and the last log entry that it covers.

    Attributes:
        term: Term of the entry.
        index: Index of the entry, 0 for no snapshot.
        members: Encoded membership.
        state: Encoded replicated state.
    """

    term: int
    index: int
    members: bytes
    state: bytes


@dataclass(slots=True)
class RequestedAcks:
    """Indices up to which the leader requests acknowledgements.

    Attributes:
        memory_index: Last entry to acknowledge once it is in memory.
        synced_index: Last entry to acknowledge once it is synced.
    """

    memory_index: int = 0
    synced_index: int = 0


class ReplicaState:
    """Term, vote, log and membership of a replica, with their invariants."""

    def __init__(
        self,
        settings: ReplicaSettings,
        stored: StoredLog,
        now_s: float,
    ) -> None:
        """Initializes from the state found on disk.

        Args:
            settings: Settings.
            stored: State found on disk.
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
        """Whether the known membership lists this disk as a voter."""
        settings = self.settings
        members = self.membership.members
        return is_voter(members, settings.name, settings.incarnation)

    @property
    def is_empty(self) -> bool:
        """Whether the log holds neither entries nor a snapshot."""
        return self.log.last_index == 0

    def drain_output(self) -> ReplicaOutput:
        """Returns and clears the accumulated effects and notices."""
        output = self.output
        self.output = ReplicaOutput()
        return output

    def send(self, peer: str, message: Message) -> None:
        """Sends a message to a peer."""
        self.output.effects.append(Send(peer, message))

    def enter_term(self, term: int, voted_for: str = '') -> None:
        """Enters a higher term and saves it to disk.

        Args:
            term: The term.
            voted_for: The vote in that term, if it is cast at once.
        """
        require(term > self.term, f'new term {term} is not above {self.term}')
        self.term = term
        self.voted_for = voted_for
        self._term_leader = ''
        self.output.effects.append(SaveVote(term, voted_for))

    def cast_vote(self, candidate: str) -> None:
        """Votes in the current term and saves the vote to disk.

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
            term: The current term or a higher one.
            voted_for: The vote in the higher term, if it is cast at once.
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

    def record_leader(self, leader: str) -> None:
        """Sets the leader of the current term.

        Args:
            leader: Name of the leader.
        """
        if leader == self.leader:
            return
        require(
            self._term_leader in {'', leader},
            f'{leader} and {self._term_leader} both lead term {self.term}',
        )
        self._term_leader = leader
        self.leader = leader
        self.output.notices.append(LeaderKnown(self.term, leader))

    def truncate_log(self, index: int) -> None:
        """Removes conflicting entries from the end of the log.

        Args:
            index: Index of the first entry to remove.
        """
        require(
            index > self.committed_index,
            f'truncation from {index} is below commit {self.committed_index}',
        )
        require(self.role is not Role.LEADER, 'a leader truncates its log')
        self.log.truncate_from(index)
        self.disk.truncated_from(index)
        self.membership.truncate_from(index)

    def write_log(self) -> None:
        """Starts the append of all entries that are not being written yet."""
        first = self.disk.unwritten_index
        last = self.log.last_index
        if first > last:
            return
        entries = tuple(self.log.between(first, last))
        self.disk.append_started(entries)
        self.output.effects.append(AppendLog(entries))

    def commit_to(self, index: int) -> None:
        """Commits the entries up to an index and notifies the state machine.

        Args:
            index: Index that a majority has synced.
        """
        if index <= self.committed_index:
            return
        require(
            index <= self.log.last_index,
            f'commit {index} is beyond the last entry {self.log.last_index}',
        )
        entries = self.log.between(self.committed_index + 1, index)
        self.committed_index = index
        self.output.notices.append(EntriesCommitted(tuple(entries)))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Writes the pending log entries, then the snapshot.

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
        """Replaces the state machine by the leader's snapshot.

        Explanation:
            Keeps the log if it contains the last entry of the snapshot.
            Replaces log and membership otherwise.

        Args:
            snapshot: A snapshot ahead of the commit index.
        """
        index = snapshot.index
        require(
            index > self.committed_index,
            f'snapshot {index} is not above commit {self.committed_index}',
        )
        log = self.log
        if not log.has_term_at(index) or log.term_at(index) != snapshot.term:
            self.disk.replaced_by_snapshot(index, self.committed_index)
            log.reset(index, snapshot.term)
            members = decode_members(snapshot.members)
            self.membership = MembershipHistory(index, members)
        self.committed_index = index
        self.save_snapshot(snapshot)
        self._notify_snapshot_installed()

    def notify_stored_snapshot(self) -> None:
        """Notifies the state machine of the snapshot found on disk, if any."""
        if self.snapshot.index:
            self._notify_snapshot_installed()

    def snapshot_saved(self, term: int, index: int) -> None:
        """Handles a `SnapshotSaved` event and discards old entries.

        Explanation:
            Some entries before the snapshot are kept in memory for followers
            that are slightly behind.

        Args:
            term: Term of the last entry that the snapshot covers.
            index: Index of that entry.
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
