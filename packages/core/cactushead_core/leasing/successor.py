"""Tracks a possible successor of the known incarnation of an upstream."""

from .events import HeartbeatReceived
from .model import Heartbeat, UpstreamIdentity


class Successor:
    """The newest heartbeat that doesn't describe the known incarnation.

    Explanation:
        Anyone may send such a heartbeat, so it ends nothing by itself. But if
        it has the id and the address of the known incarnation, and its sender
        is there, then calls reach the sender. The known incarnation refutes
        this by the answer to a list that was requested after the heartbeat.

    Attributes:
        event: The heartbeat, None without one.
    """

    def __init__(self) -> None:
        """Starts without a successor."""
        self.event: HeartbeatReceived | None = None
        self._first_heard_s = 0.0
        self._refuted: UpstreamIdentity | None = None

    def keep(self, event: HeartbeatReceived) -> None:
        """Keeps a heartbeat instead of an earlier one.

        Args:
            event: The heartbeat.
        """
        earlier = self.event
        if (
            earlier is None
            or earlier.heartbeat.identity != event.heartbeat.identity
        ):
            self._first_heard_s = event.now_s
        self.event = event

    def clear(self) -> None:
        """Forgets the heartbeat."""
        self.event = None

    def known_answered(self, sent_s: float) -> None:
        """Records that the known incarnation has listed its runs.

        Args:
            sent_s: When the list was requested, by the agent's clock.
        """
        if self.event is not None and sent_s >= self._first_heard_s:
            self._refuted = self.event.heartbeat.identity

    def may_be_at(self, known: Heartbeat) -> bool:
        """Whether calls to the known incarnation may reach the successor.

        Args:
            known: The known incarnation.
        """
        if self.event is None:
            return False
        heartbeat = self.event.heartbeat
        identity = heartbeat.identity
        return (
            heartbeat.address == known.address
            and identity.upstream == known.identity.upstream
            and identity not in {known.identity, self._refuted}
        )
