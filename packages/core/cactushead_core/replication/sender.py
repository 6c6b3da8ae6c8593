"""The leader's messages to one member."""

from ..effects import LogEntry
from .messages import AppendEntries, InstallSnapshot
from .progress import ENTRY_OVERHEAD_BYTES, Progress, Transfer
from .state import ReplicaState

PART_LIMIT_BYTES = 262_144
PART_LIMIT_ENTRIES = 4096


class Sender:
    """Sends entries, heartbeats and snapshots of bounded size."""

    def __init__(self, state: ReplicaState) -> None:
        """Sends from a leader's log.

        Args:
            state: State of the replica.
        """
        self._state = state

    def turn_ended(self, progress: Progress) -> None:
        """Sends what a member lacks and may be sent now.

        Args:
            progress: What is known of the member.
        """
        if progress.transfer is None and self._lacks_dropped(progress):
            progress.transfer = Transfer(self._state.snapshot)
            progress.send_due = True
        if progress.transfer is not None:
            if progress.send_due:
                self._send_part(progress, progress.transfer)
            return
        if progress.probing:
            if progress.send_due:
                self._send_entries(progress)
            return
        last_index = self._state.log.last_index
        while progress.next_index <= last_index and progress.can_stream:
            self._send_entries(progress)

    def tick(self, progress: Progress) -> None:
        """Sends a heartbeat when it is due, and again what seems lost.

        Args:
            progress: What is known of the member.
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
        elif not self._lacks_dropped(progress):
            self._send(progress, ())

    def _lacks_dropped(self, progress: Progress) -> bool:
        return progress.next_index <= self._state.log.base_index

    def _send_entries(self, progress: Progress) -> None:
        entries = self._take(progress.next_index)
        self._send(progress, entries)
        if entries:
            size = sum(len(entry.command) for entry in entries)
            overhead = ENTRY_OVERHEAD_BYTES * len(entries)
            progress.entries_sent(entries[-1].index, size + overhead)

    def _send(
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
            state.wanted.memory_index > previous,
            state.wanted.synced_index > previous,
            progress.number_message(state.now_s),
            state.now_s,
        )
        state.send(progress.name, message)

    def _take(self, first: int) -> list[LogEntry]:
        """Returns entries of one term, of bounded number and size."""
        last = first + PART_LIMIT_ENTRIES - 1
        entries = self._state.log.between(first, last)
        if not entries:
            return entries
        size = sum(len(entry.command) for entry in entries)
        if size > PART_LIMIT_BYTES or entries[-1].term != entries[0].term:
            return _cut_part(entries)
        return entries

    def _send_part(self, progress: Progress, transfer: Transfer) -> None:
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
            snapshot.state[offset : offset + PART_LIMIT_BYTES],
            progress.number_message(state.now_s),
            state.now_s,
        )
        state.send(progress.name, message)


def _cut_part(entries: list[LogEntry]) -> list[LogEntry]:
    term = entries[0].term
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.command)
        too_large = position > 0 and size > PART_LIMIT_BYTES
        if too_large or entry.term != term:
            return entries[:position]
    return entries
