"""Follower: appends the leader's entries and installs its snapshots."""

from dataclasses import dataclass, field

from ..effects import LogEntry
from .invariants import require
from .messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
from .state import ReplicaState, Role, Snapshot


@dataclass(slots=True)
class PartialSnapshot:
    """A snapshot of which some chunks have been received.

    Attributes:
        term: Term of the last entry that the snapshot covers.
        index: Index of that entry.
        state: Bytes received so far.
    """

    term: int = 0
    index: int = 0
    state: bytearray = field(default_factory=bytearray)


class Follower:
    """Follower role of one replica.

    Explanation:
        The verified index is the last index up to which the log is known to
        match the log of the current term's leader. Later entries may stem
        from an earlier leader; they are neither acknowledged nor applied.
    """

    def __init__(self, state: ReplicaState) -> None:
        """Initializes without a known leader.

        Args:
            state: State of the replica.
        """
        self._state = state
        self._verified_term = 0
        self._verified_index = 0
        self._partial_snapshot = PartialSnapshot()
        self._reply_due = False
        self._reported_synced_index = 0
        self._sync_ack_index = 0
        self._sequence = 0
        self._echo_s = 0.0

    def append_received(self, message: AppendEntries) -> None:
        """Handles `AppendEntries` from the current term's leader.

        Args:
            message: The message.
        """
        self._record_message(message)
        previous = message.previous_index
        if not self._matches_log(previous, message.previous_term):
            self._reject(previous)
            return
        self._append_new_entries(message)
        last = previous + len(message.commands)
        if message.sync_ack_requested:
            self._sync_ack_index = max(self._sync_ack_index, last)
        if message.memory_ack_requested or not message.sync_ack_requested:
            self._reply_due = True
        self._verified_index = max(self._verified_index, last)
        self._commit(message.committed_index)

    def snapshot_chunk_received(self, message: InstallSnapshot) -> None:
        """Handles a snapshot chunk from the current term's leader.

        Args:
            message: The chunk.
        """
        self._record_message(message)
        if message.snapshot_index <= self._state.committed_index:
            self._reply_due = True
            return
        self._add_chunk(message)
        partial = self._partial_snapshot
        if len(partial.state) < message.size_bytes:
            self._reply_chunk()
            return
        self._install(message)

    def synced(self) -> None:
        """Acknowledges newly synced entries if the leader requested it."""
        synced_index = self._synced_index()
        advanced = synced_index > self._reported_synced_index
        ack_requested = self._reported_synced_index < self._sync_ack_index
        if self._is_following() and advanced and ack_requested:
            self._reply_due = True

    def turn_ended(self) -> None:
        """Sends one acknowledgement for all messages of the loop turn."""
        if self._reply_due and self._is_following():
            self._reply(rejected_index=0, hint_index=0)
        self._reply_due = False

    def _is_following(self) -> bool:
        state = self._state
        return state.role is Role.FOLLOWER and bool(state.leader)

    def _record_message(self, message: AppendEntries | InstallSnapshot) -> None:
        """Resets the state for a new term and keeps the time to echo."""
        if message.term != self._verified_term:
            self._verified_term = message.term
            self._verified_index = 0
            self._reported_synced_index = 0
            self._sync_ack_index = 0
            self._partial_snapshot = PartialSnapshot()
            self._sequence = 0
        if message.sequence > self._sequence:
            self._sequence = message.sequence
            self._echo_s = message.sent_s

    def _matches_log(self, index: int, term: int) -> bool:
        """Whether the log has the entry that precedes the new entries."""
        state = self._state
        log = state.log
        if not log.has_term_at(index):
            return index < log.base_index
        matches = log.term_at(index) == term
        require(
            matches or index > state.committed_index,
            f'leader of term {state.term} lacks committed entry {index}',
        )
        return matches

    def _append_new_entries(self, message: AppendEntries) -> None:
        """Appends entries that the log lacks; truncates conflicting ones."""
        state = self._state
        first = message.previous_index + 1
        last = message.previous_index + len(message.commands)
        known = self._matching_end(first, last, message.entry_term)
        if known >= last:
            return
        if known < state.log.last_index:
            require(
                known >= self._verified_index,
                f'truncation at {known} below verified {self._verified_index}',
            )
            state.truncate_log(known + 1)
        term = message.entry_term
        fresh = message.commands[known + 1 - first :]
        entries = [
            LogEntry(term, index, command)
            for index, command in enumerate(fresh, known + 1)
        ]
        state.log.append(entries)
        state.membership.record_changes(entries)

    def _matching_end(self, first: int, last: int, term: int) -> int:
        """Returns the index of the last entry that the log already contains."""
        state = self._state
        log = state.log
        index = max(first - 1, min(last, state.committed_index))
        end = min(last, log.last_index)
        while index < end and log.term_at(index + 1) == term:
            index += 1
        return index

    def _commit(self, committed_index: int) -> None:
        self._state.commit_to(min(committed_index, self._verified_index))

    def _reject(self, previous_index: int) -> None:
        """Rejects entries and hints up to where the logs may match."""
        state = self._state
        hint = state.log.last_index
        if hint >= previous_index:
            hint = max(state.committed_index, self._verified_index)
        self._reply(previous_index, hint)

    def _reply(self, rejected_index: int, hint_index: int) -> None:
        state = self._state
        self._reported_synced_index = self._synced_index()
        reply = AppendReply(
            state.term,
            state.settings.name,
            state.settings.incarnation,
            self._match_index(),
            self._reported_synced_index,
            rejected_index,
            hint_index,
            self._sequence,
            self._echo_s,
        )
        state.send(state.leader, reply)

    def _match_index(self) -> int:
        return max(self._verified_index, self._state.committed_index)

    def _synced_index(self) -> int:
        return min(self._state.disk.synced_index, self._match_index())

    def _add_chunk(self, message: InstallSnapshot) -> None:
        partial = self._partial_snapshot
        snapshot_id = (message.snapshot_term, message.snapshot_index)
        if (partial.term, partial.index) != snapshot_id:
            partial = PartialSnapshot(*snapshot_id)
            self._partial_snapshot = partial
        if message.offset_bytes == len(partial.state):
            partial.state.extend(message.chunk)

    def _install(self, message: InstallSnapshot) -> None:
        self._state.install_snapshot(
            Snapshot(
                message.snapshot_term,
                message.snapshot_index,
                message.members,
                bytes(self._partial_snapshot.state),
            ),
        )
        self._partial_snapshot = PartialSnapshot()
        self._reply_due = True

    def _reply_chunk(self) -> None:
        state = self._state
        reply = SnapshotReply(
            state.term,
            state.settings.name,
            state.settings.incarnation,
            self._partial_snapshot.index,
            len(self._partial_snapshot.state),
            self._sequence,
            self._echo_s,
        )
        state.send(state.leader, reply)
