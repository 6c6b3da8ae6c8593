"""The state machine that applies committed log entries."""

from collections.abc import Callable

from ..effects import LogEntry
from ..messages.base import Message
from ..messages.codec import decode_message, encode_message
from .state import ReplicatedState, StateInvariantError, StateSnapshot


class AppliedLog:
    """The replicated state with the index of its last applied entry.

    Attributes:
        state: The replicated state.
        index: Index of the last applied entry.
    """

    def __init__(self) -> None:
        """Starts with an empty state, before the first entry."""
        self.state = ReplicatedState()
        self.index = 0

    def apply(
        self,
        entries: tuple[LogEntry, ...],
        read_record: Callable[[bytes], Message] = decode_message,
    ) -> None:
        """Applies entries that a majority of the voters has synced.

        Args:
            entries: The entries that follow the last applied one.
            read_record: Decodes the record of a command.

        Raises:
            StateInvariantError: The index of an entry is not the next one,
                or its record contradicts the state.
        """
        for entry in entries:
            if entry.index != self.index + 1:
                raise StateInvariantError(
                    f'log entry {entry.index} does not follow {self.index}',
                )
            self.index = entry.index
            if entry.command:
                self.state.apply(read_record(entry.command))

    def install(self, index: int, encoded: bytes) -> None:
        """Replaces the state with that of a snapshot.

        Args:
            index: Index of the last entry that the snapshot covers.
            encoded: The encoded state, as returned by `encode`.

        Raises:
            StateInvariantError: The snapshot has an older document version
                or an encoded message that is not a job.
        """
        snapshot = decode_message(encoded)
        if isinstance(snapshot, StateSnapshot):
            self.state.restore(snapshot)
        self.index = index

    def encode(self) -> bytes:
        """Returns the encoded state for a snapshot."""
        return encode_message(self.state.snapshot())
