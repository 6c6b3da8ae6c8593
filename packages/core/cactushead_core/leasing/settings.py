"""Settings of an agent whose upstream runs tasks under leases."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeasingSettings:
    """Settings of a leasing agent.

    Attributes:
        name: Name of the process.
        lease_s: Longest lease that the upstream grants.
        token: First fencing token; higher in each incarnation of the agent.
        drift: Largest relative error of the upstream's clock.
        renew_wait_s: How long a renewal waits for a run to end; a quarter of
            the lease, which tolerates three lost renewals.
        min_renewal_interval_s: Minimum interval to the next renewal if the last
            one listed no new end; half of the wait.
        retry_s: Pause after a failed call; a tenth of the lease.
        link_timeout_s: Time without received data after which either end of
            a link closes it.
        owner_grace_s: How long the runs of a disconnected owner continue; a
            reconnect takes less time, and a caller's resend more.
        idle_list_interval_s: Interval at which the runs are listed while none
            is expected; the lease, since an unexpected run ends with it.
        load_interval_s: Minimum interval between two load messages to an
            entry; below the shortest run, so that few offers are based on
            stale load.
        claims: Whether a waiting run claims room that will become free, so
            that smaller ones don't start before it for ever.
    """

    name: str
    lease_s: float
    token: int
    drift: float = 0.02
    renew_wait_s: float = 0.25
    min_renewal_interval_s: float = 0.12
    retry_s: float = 0.1
    link_timeout_s: float = 1.0
    owner_grace_s: float = 0.5
    idle_list_interval_s: float = 1.0
    load_interval_s: float = 0.1
    claims: bool = False

    @property
    def owner_silence_s(self) -> float:
        """Time after the newest sign of an owner when its runs are dropped.

        Explanation:
            The owner counts the same time, and the longest lease, from the
            loss of the link until it places the tasks elsewhere
            (`DispatchSettings.agent_removal_s`).
        """
        return self.link_timeout_s + self.owner_grace_s
