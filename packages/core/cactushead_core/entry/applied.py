"""Applies the committed log to the replicated state."""

from collections.abc import Callable

from ..effects import LogEntry
from ..messages.base import Message
from ..messages.codec import decode_message, encode_message
from .state import ReplicatedState, StateInvariantError, StateSnapshot


class AppliedLog:
    """The replicated state and the index up to which it is applied.

    Attributes:
        state: The replicated state.
        index: Index of the last entry that it holds.
    """

    def __init__(self) -> None:
        """Starts before the first entry."""
        self.state = ReplicatedState()
        self.index = 0

    def apply(
        self,
        entries: tuple[LogEntry, ...],
        read_record: Callable[[bytes], Message] = decode_message,
    ) -> None:
        """Applies entries that a majority has synced.

        Args:
            entries: The entries after the last one.
            read_record: Returns the record of a command.

        Raises:
            StateInvariantError: An entry is missing or contradicts the state.
        """
        for entry in entries:
            if entry.index != self.index + 1:
                raise StateInvariantError(
                    f'entry {entry.index} follows {self.index}',
                )
            self.index = entry.index
            if entry.command:
                self.state.apply(read_record(entry.command))

    def install(self, index: int, encoded: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Args:
            index: Index of the last entry that the snapshot covers.
            encoded: What `encode` returned.

        Raises:
            StateInvariantError: The snapshot holds an older document.
        """
        snapshot = decode_message(encoded)
        if isinstance(snapshot, StateSnapshot):
            self.state.restore(snapshot)
        self.index = index

    def encode(self) -> bytes:
        """Returns the encoded state for a snapshot."""
        return encode_message(self.state.snapshot())
