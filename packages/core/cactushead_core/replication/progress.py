"""Replication progress of one member, as tracked by the leader."""

from collections import deque
from dataclasses import dataclass

from .messages import Member
from .state import Snapshot

NEVER_S = float('-inf')
INFLIGHT_LIMIT_BYTES = 4_194_304
ENTRY_OVERHEAD_BYTES = 16


@dataclass(frozen=True, slots=True)
class InflightAppend:
    """A message with entries that has not been acknowledged yet.

    Attributes:
        first_index: Index of its first entry.
        last_index: Index of its last entry.
        size_bytes: Size of its commands with an overhead per entry.
    """

    first_index: int
    last_index: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent.

    Attributes:
        snapshot: The snapshot.
        offset_bytes: Number of bytes that the follower has received.
    """

    snapshot: Snapshot
    offset_bytes: int = 0


class Progress:
    """Replication progress of one member.

    Explanation:
        A session is one process incarnation of the member. A restart loses
        entries that were not synced, so the match index of a new session
        starts at 0. A reply of an earlier session may arrive late; a new
        session is therefore accepted only with a reply to a message that
        was sent after the current session was accepted.

        While probing, the leader sends one message at a time to find the
        index up to which the logs match; afterwards it pipelines messages.
    """

    def __init__(self, member: Member, last_index: int, now_s: float) -> None:
        """Initializes in probing mode, without knowing the member's log.

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
        """Whether more entries may be sent before the next acknowledgement."""
        if self.probing or self.transfer is not None:
            return False
        return self._inflight_bytes < INFLIGHT_LIMIT_BYTES

    def number_message(self, now_s: float) -> int:
        """Returns the sequence number of a message and records its sending."""
        self.sequence += 1
        self.sent_s = now_s
        self.send_due = False
        return self.sequence

    def entries_sent(self, last_index: int, size_bytes: int) -> None:
        """Records that entries were sent.

        Args:
            last_index: Index of the last entry sent.
            size_bytes: Size of their commands with an overhead per entry.
        """
        if not self._inflight:
            self._waiting_since_s = self.sent_s
        self._inflight.append(
            InflightAppend(self.next_index, last_index, size_bytes)
        )
        self._inflight_bytes += size_bytes
        self.next_index = last_index + 1

    def accept_session(self, session: str, sequence: int) -> bool:
        """Whether to accept a reply; switches to its session if it is new.

        Args:
            session: Session of the reply.
            sequence: Sequence number of the message that it answers.
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
        """Records a reply, which shows that the member follows the leader.

        Args:
            sent_s: Time at which the answered message was sent.
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
        """Updates the progress to the indices that the member reports.

        Args:
            match_index: Index up to which it holds the log in memory.
            synced_index: Index up to which it has synced the log.
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
        """Moves the next index back to where the logs may match.

        Args:
            rejected_index: Index at which the member's log doesn't match.
            hint_index: Index up to which it may match, by the member.
        """
        if rejected_index <= self.match_index:
            return
        agreed = min(rejected_index - 1, hint_index)
        self.restart_probing()
        self.next_index = max(agreed, self.match_index) + 1

    def restart_probing(self) -> None:
        """Treats unacknowledged messages as lost and starts to probe."""
        if self._inflight:
            self.next_index = self._inflight[0].first_index
        self.next_index = max(self.next_index, self.match_index + 1)
        self._inflight.clear()
        self._inflight_bytes = 0
        self.probing = True
        self.send_due = True

    def is_overdue(self, now_s: float, timeout_s: float) -> bool:
        """Whether the acknowledgement of sent entries has timed out.

        Args:
            now_s: Monotonic clock.
            timeout_s: Longest time without progress.
        """
        if not self._inflight:
            return False
        return now_s - self._waiting_since_s > timeout_s

    def _drop_acknowledged(self) -> None:
        inflight = self._inflight
        while inflight and inflight[0].last_index <= self.match_index:
            self._inflight_bytes -= inflight.popleft().size_bytes
