"""What the leader knows of one other member."""

from collections import deque
from dataclasses import dataclass

from .messages import Member
from .state import Snapshot

NEVER_S = float('-inf')
INFLIGHT_LIMIT_BYTES = 4_194_304
ENTRY_OVERHEAD_BYTES = 16


@dataclass(frozen=True, slots=True)
class InflightAppend:
    """A message with entries that is not acknowledged yet.

    Attributes:
        first_index: Index of its first entry.
        last_index: Index of its last entry.
        size_bytes: Size of its commands.
    """

    first_index: int
    last_index: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent.

    Attributes:
        snapshot: The snapshot.
        offset_bytes: How much of its state the follower has.
    """

    snapshot: Snapshot
    offset_bytes: int = 0


class Progress:
    """How far one member holds the leader's log.

    Explanation:
        A session is one run of the member's process. A restart loses what
        was not synced, so a new session starts again from what it reports.
        An answer of an earlier run may arrive later; a session is therefore
        only adopted for an answer to a message that was sent after the
        present one was adopted.

        While probing, one message at a time is sent, to find where the
        logs agree; afterwards messages follow without waiting.
    """

    def __init__(self, member: Member, last_index: int, now_s: float) -> None:
        """Starts without knowledge of the member's log.

        Args:
            member: The member.
            last_index: Index of the leader's last entry.
            now_s: Monotonic clock.
        """
        self.name = member.name
        self.incarnation = member.incarnation
        self.match_index = 0
        self.synced_index = 0
        self.next_index = last_index + 1
        self.probing = True
        self.send_due = True
        self.sequence = 0
        self.confirmed_s = NEVER_S
        self.last_contact_s = now_s
        self.sent_s = NEVER_S
        self.transfer: SnapshotTransfer | None = None
        self._session = ''
        self._session_sequence = 0
        self._inflight: deque[InflightAppend] = deque()
        self._inflight_bytes = 0
        self._waiting_since_s = now_s

    @property
    def can_stream(self) -> bool:
        """Whether more entries may be sent without waiting."""
        if self.probing or self.transfer is not None:
            return False
        return self._inflight_bytes < INFLIGHT_LIMIT_BYTES

    def number_message(self, now_s: float) -> int:
        """Returns the sequence number of a message that is sent now."""
        self.sequence += 1
        self.sent_s = now_s
        self.send_due = False
        return self.sequence

    def entries_sent(self, last_index: int, size_bytes: int) -> None:
        """Notes entries on their way.

        Args:
            last_index: Index of the last one.
            size_bytes: Size of their commands.
        """
        if not self._inflight:
            self._waiting_since_s = self.sent_s
        self._inflight.append(
            InflightAppend(self.next_index, last_index, size_bytes)
        )
        self._inflight_bytes += size_bytes
        self.next_index = last_index + 1

    def accept_session(self, session: str, sequence: int) -> bool:
        """Whether an answer of a run of the member's process counts.

        Args:
            session: The run.
            sequence: Number of the message that it answers.
        """
        if session == self._session:
            return True
        if sequence <= self._session_sequence:
            return False
        self._session = session
        self._session_sequence = self.sequence
        self.match_index = 0
        self.restart_probing()
        return True

    def record_contact(self, sent_s: float, now_s: float) -> None:
        """Notes that the member follows the leader.

        Args:
            sent_s: When the answered message was sent.
            now_s: Monotonic clock.
        """
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self.last_contact_s = now_s

    def acknowledge(
        self,
        match_index: int,
        synced_index: int,
        now_s: float,
    ) -> None:
        """Takes the indices that the member reports.

        Args:
            match_index: What it holds in memory.
            synced_index: What it holds on disk.
            now_s: Monotonic clock.
        """
        self.synced_index = max(self.synced_index, synced_index)
        if match_index > self.match_index:
            self.match_index = match_index
            self._waiting_since_s = now_s
        self._drop_acknowledged()
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.probing and self.match_index + 1 >= self.next_index:
            self.probing = False

    def reject(self, rejected_index: int, hint_index: int) -> None:
        """Goes back to where the logs may agree.

        Args:
            rejected_index: Entry that the member doesn't hold.
            hint_index: Its proposal.
        """
        if rejected_index <= self.match_index:
            return
        agreed = min(rejected_index - 1, hint_index)
        self.restart_probing()
        self.next_index = max(agreed, self.match_index) + 1

    def restart_probing(self) -> None:
        """Takes messages on their way as lost."""
        if self._inflight:
            self.next_index = self._inflight[0].first_index
        self.next_index = max(self.next_index, self.match_index + 1)
        self._inflight.clear()
        self._inflight_bytes = 0
        self.probing = True
        self.send_due = True

    def is_overdue(self, now_s: float, timeout_s: float) -> bool:
        """Whether entries are on their way for too long.

        Args:
            now_s: Monotonic clock.
            timeout_s: Longest wait.
        """
        if not self._inflight:
            return False
        return now_s - self._waiting_since_s > timeout_s

    def _drop_acknowledged(self) -> None:
        inflight = self._inflight
        while inflight and inflight[0].last_index <= self.match_index:
            self._inflight_bytes -= inflight.popleft().size_bytes
