"""Builds the calls of an agent to its upstream: lease ends and tokens."""

from collections.abc import Callable, Iterable

from ..effects import Effect, Record
from ..tasks import TaskRef
from .clock import UNKNOWN_MS, UpstreamClock
from .effects import RenewLeases, StartLeased, StopLeased
from .model import Heartbeat
from .runs import LeasedRun
from .settings import LeasingSettings

# Added to the fencing token when the upstream has seen a higher one, so that
# the new token exceeds every token of an earlier incarnation of this agent.
TOKEN_INCREMENT = 60_000
MILLISECONDS = 1000


class UpstreamCalls:
    """Builds start, stop and renewal calls for one upstream.

    Attributes:
        clock: Estimate of the upstream's clock.
        acknowledged: Number of the newest run end that was processed.
        listed: Number of the newest run end in the last answer; 0 once a
            renewal has acknowledged it.
        renewal_pending: Whether a renewal awaits its answer.
        next_renewal_s: Earliest time of the next renewal.
        latest_lease_end_s: Time by which every lease that may have been granted
            has expired, by the agent's clock.
    """

    def __init__(
        self,
        settings: LeasingSettings,
        find_lease_limit_s: Callable[[], float],
    ) -> None:
        """Initializes the state before the first call.

        Args:
            settings: Settings of the agent.
            find_lease_limit_s: Returns when leases have to end at the latest.
        """
        self.clock = UpstreamClock(settings.drift)
        self.acknowledged = 0
        self.listed = 0
        self.renewal_pending = False
        self.next_renewal_s = 0.0
        self.latest_lease_end_s = 0.0
        self._settings = settings
        self._find_lease_limit_s = find_lease_limit_s
        self._token = settings.token
        self._stop_requested_s: dict[TaskRef, float] = {}
        # The value of `latest_lease_end_s` without the newest renewal.
        self._earlier_lease_end_s = 0.0

    @property
    def has_unknown_runs(self) -> bool:
        """Whether the newest list contained runs unknown to this agent."""
        return bool(self._stop_requested_s)

    def can_start(self, now_s: float) -> bool:
        """Whether a run that starts now gets a lease until the next renewal.

        Args:
            now_s: The agent's clock.
        """
        settings = self._settings
        shortest_s = min(
            settings.renew_wait_s + settings.retry_s, settings.lease_s
        )
        return self.clock.known and self._lease_s(now_s) >= shortest_s

    def reset(self) -> None:
        """Clears the state that belongs to the previous incarnation.

        Explanation:
            The new incarnation would carry out late calls that were made to
            the previous one. It refuses them once it has seen a higher token.
        """
        self._token += 1
        self.acknowledged = 0
        self.listed = 0
        self.clock.reset()
        self._stop_requested_s = {}

    def raise_token(self, effects: list[Effect]) -> None:
        """Increases the fencing token, since the upstream saw a higher one."""
        self._token += TOKEN_INCREMENT
        effects.append(
            Record(
                'fencing token raised',
                detail=str(self._token),
                logged=True,
            ),
        )

    def start(
        self,
        run: LeasedRun,
        upstream: Heartbeat,
        now_s: float,
    ) -> StartLeased:
        """Returns the call that starts a run."""
        lease_end_ms = self._lease_end_ms(now_s)
        self._earlier_lease_end_s = self.latest_lease_end_s
        return StartLeased(
            upstream.identity,
            upstream.address,
            run.task,
            run.run,
            run.payload,
            lease_end_ms,
            self._token,
        )

    def stop(
        self,
        task: TaskRef,
        run: int,
        upstream: Heartbeat,
    ) -> StopLeased:
        """Returns the call that stops a run."""
        return StopLeased(
            upstream.identity,
            upstream.address,
            task,
            run,
            self._token,
        )

    def renew(
        self,
        upstream: Heartbeat,
        now_s: float,
        *,
        idle: bool,
        wait_s: float,
    ) -> RenewLeases:
        """Returns the call that renews all leases and lists the runs.

        Explanation:
            Only the renewal after an answer acknowledges the ends that the
            answer listed. A later one could reach a new incarnation, which
            numbers its ends anew and would discard the first of them. An end
            whose acknowledgement is lost is listed again.

        Args:
            upstream: The upstream.
            now_s: The agent's clock.
            idle: Whether there is no lease to renew; the call then only lists.
            wait_s: How long the upstream may delay its answer until a run ends.
        """
        self.renewal_pending = True
        self._earlier_lease_end_s = self.latest_lease_end_s
        lease_end_ms = UNKNOWN_MS
        if self.clock.known and not idle and self._lease_s(now_s) > 0:
            lease_end_ms = self._lease_end_ms(now_s)
        acknowledged = self.listed
        self.listed = 0
        return RenewLeases(
            upstream.identity,
            upstream.address,
            lease_end_ms,
            acknowledged,
            wait_s,
            self._token,
        )

    def renewal_not_sent(self) -> None:
        """Discards the lease end of the newest renewal."""
        self.latest_lease_end_s = self._earlier_lease_end_s

    def stop_unknown_runs(
        self,
        unknown_runs: Iterable[tuple[TaskRef, int]],
        upstream: Heartbeat,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Stops runs unknown to the agent, repeating each call periodically.

        Args:
            unknown_runs: Tasks and run numbers from the newest list.
            upstream: The upstream.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        known = self._stop_requested_s
        self._stop_requested_s = {}
        for task, run in unknown_runs:
            requested_s = known.get(task, float('-inf'))
            if now_s - requested_s > self._settings.retry_s:
                requested_s = now_s
                effects.append(self.stop(task, run, upstream))
                effects.append(
                    Record(
                        'unknown run stopped',
                        subject=f'{task.job}.{task.step}.{task.index}',
                        detail=f'run {run}',
                        logged=True,
                    ),
                )
            self._stop_requested_s[task] = requested_s

    def _lease_s(self, now_s: float) -> float:
        return min(self._settings.lease_s, self._find_lease_limit_s() - now_s)

    def _lease_end_ms(self, now_s: float) -> int:
        lease_s = self._lease_s(now_s)
        max_duration_s = self.clock.max_duration_s(lease_s)
        self.latest_lease_end_s = max(
            self.latest_lease_end_s, now_s + max_duration_s
        )
        lease_ms = int(lease_s * MILLISECONDS)
        return self.clock.reading_ms(now_s) + lease_ms
