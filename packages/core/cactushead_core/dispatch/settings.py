"""Settings of the dispatch of best-effort jobs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Settings of an entry's dispatcher.

    Attributes:
        lease_s: Longest lease that an upstream gives.
        drift: Largest relative error of an upstream's clock.
        silence_s: Silence after which either end of a link cuts it.
        owner_grace_s: How long an agent keeps the runs of a lost owner.
        late_factor: Expected time to the end, as a multiple of the
            objective, from which on a job is refused, since it would make
            others late as well; a tenth above 1, as estimates are rough.
        far_factor: How much longer a task takes away from its data.
        recent_s: How long the end of a job is remembered for callers that
            send it again; longer than copies are late.
        settle_s: Time from the start of the process until it has heard of
            the agents; two heartbeats of an upstream.
        drain_s: Longest time that open jobs may take once the process
            shall stop.
    """

    lease_s: float = 1.0
    drift: float = 0.02
    silence_s: float = 1.0
    owner_grace_s: float = 0.5
    late_factor: float = 1.1
    far_factor: float = 1.5
    recent_s: float = 15.0
    settle_s: float = 3.0
    drain_s: float = 5.0

    @property
    def gone_s(self) -> float:
        """Time after the loss of a link until an agent's runs are over.

        Explanation:
            The agent notices the silence, waits for its owner, and stops
            the runs; if it can't, their leases lapse.
        """
        longest_s = self.lease_s * (1 + self.drift) / (1 - self.drift)
        return self.silence_s + self.owner_grace_s + longest_s
