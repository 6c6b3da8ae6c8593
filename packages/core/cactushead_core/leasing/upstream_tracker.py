"""Which life of its upstream an agent deals with, and what is sure of it."""

from dataclasses import replace

from .model import Heartbeat, UpstreamIdentity, UpstreamState


class UpstreamTracker:
    """The upstream beside an agent.

    Attributes:
        upstream: Its newest heartbeat, None when there is no upstream.
        settled: Whether a list of its runs held none that the agent doesn't
            know.
    """

    def __init__(self, longest_lease_s: float) -> None:
        """Starts without an upstream.

        Args:
            longest_lease_s: When the leases that an earlier life of the
                agent gave are over for certain.
        """
        self.upstream: Heartbeat | None = None
        self.reconciled = False
        self._upstream_gone = False
        self._longest_lease_s = longest_lease_s
        self._first_checked_s: float | None = None

    @property
    def accepts_tasks(self) -> bool:
        """Whether the upstream may be given new tasks."""
        return (
            self.reconciled
            and self.upstream is not None
            and self.upstream.state is UpstreamState.READY
        )

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is newer than what is known."""
        known = self.upstream
        if known is None:
            return True
        if heartbeat.identity == known.identity:
            return heartbeat.sequence > known.sequence
        return heartbeat.identity.born_ms > known.identity.born_ms

    def matches(self, identity: UpstreamIdentity) -> bool:
        """Whether an answer is of this upstream, in any of its lives."""
        known = self.upstream
        return (
            known is not None and known.identity.upstream == identity.upstream
        )

    def knows_all_runs(self, now_s: float) -> bool:
        """Whether the agent knows of all runs at its upstream.

        Args:
            now_s: The agent's clock.
        """
        if self._first_checked_s is None:
            self._first_checked_s = now_s
        if self.reconciled or self._upstream_gone:
            return True
        if self.upstream is not None:
            return False
        return now_s - self._first_checked_s > self._longest_lease_s

    def track_new(self) -> None:
        """Awaits the first list of another upstream's runs."""
        self.reconciled = False
        self._upstream_gone = False

    def update_incarnation(self, identity: UpstreamIdentity) -> bool:
        """Goes on with a later life under the same id.

        Args:
            identity: The life that answered.

        Returns:
            Whether it is a later one than the one known.
        """
        known = self.upstream
        if known is None or known.identity.born_ms >= identity.born_ms:
            return False
        self.upstream = replace(known, identity=identity, sequence=-1)
        return True

    def mark_gone(self) -> None:
        """Notes that the upstream is gone, and its runs with it."""
        self.upstream = None
        self.reconciled = False
        self._upstream_gone = True
