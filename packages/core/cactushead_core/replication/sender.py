"""Messages from the leader to the members."""

from ..effects import LogEntry
from .messages import AppendEntries, InstallSnapshot
from .progress import ENTRY_OVERHEAD_BYTES, Progress, SnapshotTransfer
from .state import ReplicaState

MESSAGE_LIMIT_BYTES = 262_144
MESSAGE_LIMIT_ENTRIES = 4096


class Sender:
    """Sends entries, heartbeats and snapshots of bounded size."""

    def __init__(self, state: ReplicaState) -> None:
        """Initializes with the log to send from.

        Args:
            state: State of the replica.
        """
        self._state = state

    def turn_ended(self, progress: Progress) -> None:
        """Sends the entries or snapshot chunk that a member needs next.

        Explanation:
            Sends a snapshot if needed entries were discarded, one message
            while probing, and else entries up to the in-flight limit.

        Args:
            progress: Progress of the member.
        """
        if progress.transfer is None and self._needs_snapshot(progress):
            progress.transfer = SnapshotTransfer(self._state.snapshot)
            progress.send_due = True
        if progress.transfer is not None:
            if progress.send_due:
                self._send_chunk(progress, progress.transfer)
            return
        if progress.probing:
            if progress.send_due:
                self._send_entries(progress)
            return
        last_index = self._state.log.last_index
        while progress.next_index <= last_index and progress.can_stream:
            self._send_entries(progress)

    def tick(self, progress: Progress) -> None:
        """Sends a heartbeat if due; treats overdue messages as lost.

        Args:
            progress: Progress of the member.
        """
        state = self._state
        heartbeat_s = state.settings.heartbeat_s
        if progress.is_overdue(state.now_s, 2 * heartbeat_s):
            progress.restart_probing()
            progress.send_due = False
        if state.now_s - progress.sent_s < heartbeat_s:
            return
        if progress.transfer is not None:
            progress.send_due = True
        elif not self._needs_snapshot(progress):
            self._send_append(progress, ())

    def _needs_snapshot(self, progress: Progress) -> bool:
        """Whether the next entry for the member was discarded."""
        return progress.next_index <= self._state.log.base_index

    def _send_entries(self, progress: Progress) -> None:
        entries = self._next_batch(progress.next_index)
        self._send_append(progress, entries)
        if entries:
            size = sum(len(entry.command) for entry in entries)
            overhead = ENTRY_OVERHEAD_BYTES * len(entries)
            progress.entries_sent(entries[-1].index, size + overhead)

    def _send_append(
        self,
        progress: Progress,
        entries: list[LogEntry] | tuple[()],
    ) -> None:
        state = self._state
        previous = progress.next_index - 1
        message = AppendEntries(
            state.term,
            state.settings.name,
            previous,
            state.log.term_at(previous),
            entries[0].term if entries else 0,
            tuple([entry.command for entry in entries]),
            state.committed_index,
            state.requested_acks.memory_index > previous,
            state.requested_acks.synced_index > previous,
            progress.number_message(state.now_s),
            state.now_s,
        )
        state.send(progress.name, message)

    def _next_batch(self, first: int) -> list[LogEntry]:
        """Returns the next entries of one term, limited in number and size."""
        last = first + MESSAGE_LIMIT_ENTRIES - 1
        entries = self._state.log.between(first, last)
        if not entries:
            return entries
        size = sum(len(entry.command) for entry in entries)
        if size > MESSAGE_LIMIT_BYTES or entries[-1].term != entries[0].term:
            return _limit_batch(entries)
        return entries

    def _send_chunk(
        self, progress: Progress, transfer: SnapshotTransfer
    ) -> None:
        state = self._state
        snapshot = transfer.snapshot
        offset = transfer.offset_bytes
        message = InstallSnapshot(
            state.term,
            state.settings.name,
            snapshot.term,
            snapshot.index,
            snapshot.members,
            len(snapshot.state),
            offset,
            snapshot.state[offset : offset + MESSAGE_LIMIT_BYTES],
            progress.number_message(state.now_s),
            state.now_s,
        )
        state.send(progress.name, message)


def _limit_batch(entries: list[LogEntry]) -> list[LogEntry]:
    """Returns the first entries, of one term and within the size limit."""
    term = entries[0].term
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.command)
        too_large = position > 0 and size > MESSAGE_LIMIT_BYTES
        if too_large or entry.term != term:
            return entries[:position]
    return entries
