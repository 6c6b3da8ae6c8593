"""Settings of an agent whose upstream runs tasks under leases."""

from dataclasses import dataclass

# Below it, two late pings would end runs of an owner that is alive: they are at
# most 0.4 s apart.
MIN_OWNER_SILENCE_S = 0.9


@dataclass(frozen=True, slots=True)
class LeasingSettings:
    """Settings of a leasing agent.

    Attributes:
        name: Name of the process.
        lease_s: Longest lease that the upstream grants.
        token: First fencing token, above which sessions are numbered too;
            higher in each incarnation of the agent.
        drift: Largest relative error of the upstream's clock.
        renew_wait_s: How long a renewal waits for a run to end; a quarter of
            the lease, which tolerates three lost renewals.
        min_renewal_interval_s: Minimum interval to the next renewal if the last
            one listed no new end; half of the wait.
        retry_s: Pause after a failed call; a tenth of the lease.
        link_timeout_s: Time without received data after which either end of
            a link closes it.
        owner_grace_s: How long the runs of a disconnected owner continue; a
            reconnect takes less time.
        resend_s: Shortest time after which a caller without a response sends
            its job again, to another entry.
        stop_s: How long the upstream takes to stop a run.
        reaction_s: Time from the end of an ownership until the stop calls have
            arrived; an interval of ticks and the time-out of a call.
        renewal_s: Time from the stop of a run until the leases of the others
            are renewed; an interval of ticks.
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
    resend_s: float = 1.3
    stop_s: float = 0.05
    reaction_s: float = 0.15
    renewal_s: float = 0.05
    idle_list_interval_s: float = 1.0
    load_interval_s: float = 0.1
    claims: bool = False

    @property
    def owner_silence_s(self) -> float:
        """Time after the last message of an owner when its runs are dropped.

        Explanation:
            The tasks may be started again by two others some time later: by the
            owner, after the time-out, the grace period and the longest lease
            (`DispatchSettings.agent_removal_s`), and by another entry, to which
            a caller resends the job that a silent owner doesn't answer. The
            runs end before both, and the leases of other runs are renewed
            before `lease_grace_s` is over.
        """
        before_resend_s = (
            self.resend_s - self.stop_s - self.reaction_s - self.renewal_s
        )
        return max(
            min(self.link_timeout_s + self.owner_grace_s, before_resend_s),
            MIN_OWNER_SILENCE_S,
        )

    @property
    def lease_grace_s(self) -> float:
        """Time after the end of an ownership when the leases end.

        Explanation:
            The runs end by then even if the agent can't stop them. The tasks
            may be started elsewhere after that, as for `owner_silence_s`.
        """
        until_resend_s = self.resend_s * (1 - self.drift) - self.owner_silence_s
        return max(min(until_resend_s, self.lease_s), self.reaction_s)

    @property
    def overlap_s(self) -> float:
        """Time for which runs of a silent owner may overlap those of a resend.

        Explanation:
            It is above 0 only if callers resend sooner than the links can show
            that an owner is silent.
        """
        end_s = self.owner_silence_s + self.reaction_s + self.stop_s
        return max(end_s - self.resend_s, 0)
