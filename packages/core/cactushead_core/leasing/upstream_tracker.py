"""Tracks the incarnation of an agent's upstream and its run list."""

from dataclasses import replace

from .model import Heartbeat, UpstreamIdentity, UpstreamState

# Sequence number of an incarnation that has sent no heartbeat.
NO_HEARTBEAT = -1


class UpstreamTracker:
    """The current incarnation of an agent's upstream.

    Attributes:
        upstream: Its newest heartbeat, None without an upstream.
        reconciled: Whether a list of its runs contained only runs that the
            agent knows.
        answered: Whether it has listed its runs.
        refuses: Whether it has refused a connection since its last answer.
    """

    def __init__(self, longest_lease_s: float) -> None:
        """Initializes the tracker without an upstream.

        Args:
            longest_lease_s: Time after which all leases granted by an earlier
                incarnation of the agent have expired.
        """
        self.upstream: Heartbeat | None = None
        self.reconciled = False
        self.answered = False
        self.refuses = False
        self._earlier_runs_ended = False
        self._longest_lease_s = longest_lease_s
        self._first_checked_s: float | None = None

    @property
    def accepts_tasks(self) -> bool:
        """Whether new tasks may be started at the upstream.

        Explanation:
            A new incarnation may have less capacity than the one before it,
            so its first heartbeat is awaited.
        """
        return (
            self.reconciled
            and self.upstream is not None
            and self.upstream.state is UpstreamState.READY
            and self.upstream.sequence != NO_HEARTBEAT
        )

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is newer than the known one.

        Explanation:
            An upstream that has not answered yet may not exist, so it makes no
            other one old. Heartbeats that describe one incarnation differently
            are from two writers, whose numbers can't be compared.
        """
        known = self.upstream
        if known is None:
            return True
        if heartbeat.identity == known.identity:
            return (
                heartbeat.sequence > known.sequence
                or not self.is_described_by(heartbeat)
            )
        return (
            not self.answered
            or heartbeat.identity.started_ms > known.identity.started_ms
        )

    def is_described_by(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is one of the known incarnation.

        Explanation:
            An incarnation keeps its address and its service. The service of
            one that has sent no heartbeat is that of the one before it.
        """
        known = self.upstream
        if known is None or heartbeat.identity != known.identity:
            return False
        if known.sequence == NO_HEARTBEAT:
            return heartbeat.address == known.address
        return (heartbeat.address, heartbeat.service) == (
            known.address,
            known.service,
        )

    def matches(self, identity: UpstreamIdentity) -> bool:
        """Whether an answer is from this upstream, in any incarnation."""
        known = self.upstream
        return (
            known is not None and known.identity.upstream == identity.upstream
        )

    def is_current(self, identity: UpstreamIdentity) -> bool:
        """Whether a call was made to the known incarnation."""
        return self.upstream is not None and self.upstream.identity == identity

    def knows_all_runs(self, now_s: float) -> bool:
        """Whether the agent knows all runs at its upstream.

        Args:
            now_s: The agent's clock.
        """
        if self._first_checked_s is None:
            self._first_checked_s = now_s
        if self.reconciled:
            return True
        if self.upstream is not None:
            return False
        return (
            self._earlier_runs_ended
            or now_s - self._first_checked_s > self._longest_lease_s
        )

    def track_new(self, heartbeat: Heartbeat) -> None:
        """Switches to a new upstream, whose list of runs is awaited.

        Args:
            heartbeat: Its heartbeat.
        """
        self.upstream = heartbeat
        self.reconciled = False
        self.answered = False
        self.refuses = False

    def update_incarnation(self, identity: UpstreamIdentity) -> bool:
        """Switches to another incarnation with the same id.

        Explanation:
            Only the first answer may be from an earlier one: the heartbeat was
            then not the upstream's.

        Args:
            identity: Incarnation that answered.

        Returns:
            Whether it is another one than the known one.
        """
        known = self.upstream
        if known is None or known.identity == identity:
            return False
        if self.answered and identity.started_ms < known.identity.started_ms:
            return False
        self.upstream = replace(known, identity=identity, sequence=NO_HEARTBEAT)
        return True

    def mark_gone(self) -> None:
        """Records that the upstream and its runs are gone.

        Explanation:
            Of an upstream that has listed no runs it isn't known whether it
            was the one that has those of an earlier incarnation of the agent.
        """
        self._earlier_runs_ended = self._earlier_runs_ended or self.reconciled
        self.upstream = None
        self.reconciled = False
        self.answered = False
