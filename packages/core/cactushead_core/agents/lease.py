"""The agent's right to start tasks."""

from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """Until when an agent may start tasks, on its own monotonic clock.

    Explanation:
        The clock reading travels in the agent's heartbeat and back in the
        leader's grant, so no clocks are compared and a late grant is worth
        no more than a prompt one.

    Examples:
        >>> lease = Lease(lease_s=2.0)
        >>> lease.extend(echo_s=10.0, granted_s=3.0)
        >>> lease.holds(11.9), lease.holds(12.1)
        (True, False)

    Attributes:
        lease_s: Duration of a lease.
        until_s: End of the lease.
    """

    lease_s: float
    until_s: float = -1.0

    def extend(self, echo_s: float, granted_s: float) -> None:
        """Extends the lease by the shorter of both sides' durations.

        Args:
            echo_s: The agent's clock in the granted heartbeat.
            granted_s: Duration that the leader counts with.
        """
        duration_s = min(self.lease_s, granted_s)
        self.until_s = max(self.until_s, echo_s + duration_s)

    def holds(self, now_s: float) -> bool:
        """Whether tasks may be started.

        Args:
            now_s: The agent's monotonic clock.
        """
        return now_s < self.until_s

    def covers(self, echo_s: float, now_s: float) -> bool:
        """Whether a decision is recent enough to be carried out.

        Args:
            echo_s: The agent's clock in the heartbeat that the leader had
                when it decided.
            now_s: The agent's monotonic clock.
        """
        return self.holds(now_s) and now_s < echo_s + self.lease_s

    def revoke(self) -> None:
        """Ends the lease."""
        self.until_s = -1.0
