"""The state that the voters of a fleet replicate."""

from ..configuration import ConfigurationRecord
from ..configuration.manager import ConfigurationManager
from ..effects import Effect, LogEntry
from ..evacuation import EvacuationState
from ..evacuation.manager import EvacuationManager
from ..messages.codec import decode_message, encode_message
from .messages import FleetSnapshot


class StateMachine:
    """Applies the replicated log to the configuration and the evacuations."""

    def __init__(
        self,
        configuration: ConfigurationManager,
        evacuations: EvacuationManager,
    ) -> None:
        """Shares the managers of the entry.

        Args:
            configuration: Its configuration.
            evacuations: Its evacuations.
        """
        self._configuration = configuration
        self._evacuations = evacuations
        self._applied_index = 0

    def entries_committed(
        self,
        entries: tuple[LogEntry, ...],
        effects: list[Effect],
    ) -> None:
        """Applies committed log entries.

        Explanation:
            Evacuations come first, so that a process that gets its first
            configuration with them never serves without them.
        """
        self._evacuations.entries_committed(entries, effects)
        self._configuration.entries_committed(entries, effects)
        if entries:
            self._applied_index = entries[-1].index

    def snapshot_installed(
        self,
        index: int,
        state: bytes,
        effects: list[Effect],
    ) -> None:
        """Replaces the state by that of a snapshot.

        Explanation:
            A snapshot of earlier software holds only the configuration.
        """
        self._applied_index = index
        snapshot = decode_message(state)
        if isinstance(snapshot, ConfigurationRecord):
            snapshot = FleetSnapshot(snapshot, EvacuationState())
        if isinstance(snapshot, FleetSnapshot):
            self._evacuations.snapshot_installed(
                index, snapshot.evacuations, effects
            )
            self._configuration.snapshot_installed(
                index, snapshot.configuration, effects
            )

    def snapshot(self) -> tuple[int, bytes]:
        """Returns the applied index and the encoded state at that index."""
        snapshot = FleetSnapshot(
            self._configuration.stored, self._evacuations.stored
        )
        return self._applied_index, encode_message(snapshot)

    def acknowledge_stored(self, effects: list[Effect]) -> None:
        """Acknowledges the submissions that are committed."""
        self._configuration.acknowledge_stored(effects)
        self._evacuations.acknowledge_stored(effects)

    def leadership_lost(self, effects: list[Effect]) -> None:
        """Replies to the senders of open submissions."""
        self._configuration.leadership_lost(effects)
        self._evacuations.leadership_lost(effects)
