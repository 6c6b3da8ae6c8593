"""Settings for the dispatch of best-effort jobs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Settings of an entry's dispatcher.

    Attributes:
        lease_s: Maximum duration of a lease granted by an upstream.
        drift: Maximum relative drift of an upstream's clock.
        link_timeout_s: Time without received data after which either end of
            a link closes it.
        owner_grace_s: How long an agent continues the runs of an owner whose
            link is lost.
        max_lateness_factor: Expected completion time, as a multiple of the
            objective, above which a job is refused because it would also
            delay other jobs; 10 % above 1 because estimates are rough.
        far_factor: Factor by which the run time grows when a task does not
            run near its data.
        outcome_retention_s: How long the final state of a job is kept for
            resubmissions; longer than duplicate requests can be delayed.
        startup_grace_s: Time from the start of the process until all agents
            are expected to have reported; two heartbeats of an upstream.
        drain_s: Maximum time for open jobs to complete after the process
            was asked to stop.
    """

    lease_s: float = 1.0
    drift: float = 0.02
    link_timeout_s: float = 1.0
    owner_grace_s: float = 0.5
    max_lateness_factor: float = 1.1
    far_factor: float = 1.5
    outcome_retention_s: float = 15.0
    startup_grace_s: float = 3.0
    drain_s: float = 5.0

    @property
    def agent_removal_s(self) -> float:
        """Time after the loss of a link by which an agent's runs have ended.

        Explanation:
            The sum of the time in which the agent detects the loss, its
            grace period for the owner, and the longest lease, corrected for
            clock drift. After the first two the agent starts no queued run
            and renews no lease for the owner, whether it was paused or not
            (`LeasingSettings.owner_silence_s`). If the upstream doesn't
            answer its stop calls, the leases expire by then.
        """
        longest_s = self.lease_s * (1 + self.drift) / (1 - self.drift)
        return self.link_timeout_s + self.owner_grace_s + longest_s
