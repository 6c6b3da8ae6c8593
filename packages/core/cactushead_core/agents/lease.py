"""The lease under which an agent may start tasks."""

from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """Lease that permits an agent to start tasks, on its monotonic clock.

    Explanation:
        The agent sends its clock reading in the heartbeat and the leader
        echoes it in the grant. The lease counts from that reading, so clocks
        of different machines are never compared and a delayed grant doesn't
        extend the lease.

    Examples:
        >>> lease = Lease(lease_s=2.0)
        >>> lease.extend(echo_s=10.0, granted_s=3.0)
        >>> lease.is_active(11.9), lease.is_active(12.1)
        (True, False)

    Attributes:
        lease_s: Configured duration of a lease.
        until_s: Time at which the lease expires.
    """

    lease_s: float
    until_s: float = -1.0

    def extend(self, echo_s: float, granted_s: float) -> None:
        """Extends the lease, by the shorter of both configured durations.

        Args:
            echo_s: The agent's clock reading in the heartbeat that is answered.
            granted_s: Duration that the leader granted.
        """
        duration_s = min(self.lease_s, granted_s)
        self.until_s = max(self.until_s, echo_s + duration_s)

    def is_active(self, now_s: float) -> bool:
        """Whether the lease has not expired, so that tasks may start.

        Args:
            now_s: The agent's monotonic clock.
        """
        return now_s < self.until_s

    def covers(self, echo_s: float, now_s: float) -> bool:
        """Whether a decision of the leader was made under the active lease.

        Args:
            echo_s: The agent's clock reading in the newest heartbeat that
                the leader had received when it decided.
            now_s: The agent's monotonic clock.
        """
        return self.is_active(now_s) and now_s < echo_s + self.lease_s

    def revoke(self) -> None:
        """Ends the lease immediately."""
        self.until_s = -1.0
