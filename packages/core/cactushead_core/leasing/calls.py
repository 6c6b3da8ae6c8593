"""The calls that an agent makes to one upstream, and their clock and token."""

from collections.abc import Iterable

from ..effects import Effect, Record
from ..tasks import TaskRef
from .clock import UNKNOWN_MS, UpstreamClock
from .effects import RenewLeases, StartLeased, StopLeased
from .model import Heartbeat
from .runs import LeasedRun
from .settings import LeasingSettings

# A higher token than any that an earlier life of this agent can have sent.
TOKEN_INCREMENT = 60_000
MILLISECONDS = 1000


class UpstreamCalls:
    """Makes the calls of an agent.

    Attributes:
        clock: The upstream's clock.
        acknowledged: Number of the newest end that was taken.
        renewal_open: Whether a renewal is unanswered.
        renew_from_s: Earliest time of the next renewal.
        leased_until_s: When every lease is over that was asked for so far.
    """

    def __init__(self, settings: LeasingSettings) -> None:
        """Starts before the first call.

        Args:
            settings: Settings of the agent.
        """
        self.clock = UpstreamClock(settings.drift)
        self.acknowledged = 0
        self.renewal_pending = False
        self.next_renewal_s = 0.0
        self.latest_lease_end_s = 0.0
        self._settings = settings
        self._token = settings.token
        self._stop_requested_s: dict[TaskRef, float] = {}

    @property
    def has_unknown_runs(self) -> bool:
        """Whether the newest list showed runs that this agent doesn't know."""
        return bool(self._stop_requested_s)

    def reset(self) -> None:
        """Forgets what belongs to the upstream's last life."""
        self.acknowledged = 0
        self.clock.reset()
        self._stop_requested_s = {}

    def raise_token(self, effects: list[Effect]) -> None:
        """Takes a higher fencing token, since this one is too low."""
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
        return StartLeased(
            upstream.identity,
            upstream.address,
            run.task,
            run.run,
            run.payload,
            self._lease_end_ms(now_s),
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

        Args:
            upstream: The upstream.
            now_s: The agent's clock.
            idle: Whether there is no lease to renew.
            wait_s: How long the answer may wait for an end.
        """
        self.renewal_pending = True
        lease_end_ms = UNKNOWN_MS
        if self.clock.known and not idle:
            lease_end_ms = self._lease_end_ms(now_s)
        return RenewLeases(
            upstream.identity,
            upstream.address,
            lease_end_ms,
            self.acknowledged,
            wait_s,
            self._token,
        )

    def stop_unknown_runs(
        self,
        unknown_runs: Iterable[tuple[TaskRef, int]],
        upstream: Heartbeat,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Stops runs that the agent doesn't know, again after a while.

        Args:
            unknown_runs: Tasks and numbers of such runs in the newest list.
            upstream: The upstream.
            now_s: The agent's clock.
            effects: Where effects are added.
        """
        known = self._stop_requested_s
        self._stop_requested_s = {}
        for task, run in unknown_runs:
            asked_s = known.get(task, float('-inf'))
            if now_s - asked_s > self._settings.retry_s:
                asked_s = now_s
                effects.append(self.stop(task, run, upstream))
                effects.append(
                    Record(
                        'unknown run stopped',
                        subject=f'{task.job}.{task.step}.{task.index}',
                        detail=f'run {run}',
                        logged=True,
                    ),
                )
            self._stop_requested_s[task] = asked_s

    def _lease_end_ms(self, now_s: float) -> int:
        lease_s = self._settings.lease_s
        max_duration_s = self.clock.max_duration_s(lease_s)
        self.latest_lease_end_s = max(
            self.latest_lease_end_s, now_s + max_duration_s
        )
        lease_ms = int(lease_s * MILLISECONDS)
        return self.clock.reading_ms(now_s) + lease_ms
