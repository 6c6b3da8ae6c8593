"""Ejection of upstreams that fail more than their peers, and their return.

Explanation:
    An upstream that fails everything at once has free slots all the time and
    attracts work. So once its failures look bad and not enough peers have
    ended tasks of the same kind since, it is suspected and gets no more work
    until they have, or a second has passed. Ejection times double. An
    upstream that returns is on probation: one task at first, then twice as
    many with each success; one failure that its peers don't share ejects it
    again. Its room is small, so it is tried only when the others are busy. At
    most half of the available upstreams of each pool are out at a time.
"""

import math
from collections.abc import Iterable
from itertools import islice

from .exclusions import Exclusions, HealthState, UpstreamHealth
from .failure_statistics import (
    MAX_TEST_OUTCOMES,
    MIN_PEERS,
    MIN_RUNS,
    FailureTest,
    KindKey,
    PeerComparison,
    PeerStatistics,
)
from .model import UNLIMITED_TASKS, UpstreamState
from .notices import SchedulerNotice, UpstreamEjected, UpstreamReadmitted
from .pool import UpstreamPool
from .registry import UpstreamRegistry

MAX_SUSPICION_S = 1.0
# Logarithms of run times over estimates: twice as long is worth a look at the
# peers, four times as long as they is too slow.
COMPARED_LOG_SLOWDOWN = math.log(2)
EJECTED_LOG_SLOWDOWN = math.log(4)


class HealthMonitor:
    """Judges upstreams by their outcomes and sets their allowance."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        """Starts with all upstreams healthy.

        Args:
            registry: The upstreams.
        """
        self._registry = registry
        self._statistics = PeerStatistics()
        self._healths: dict[str, UpstreamHealth] = {}
        self._exclusions = Exclusions(registry)
        self._notices: list[SchedulerNotice] = []

    @property
    def next_change_s(self) -> float:
        """When the next suspicion or ejection ends, infinity for none."""
        return self._exclusions.next_change_s

    def drain_notices(self) -> list[SchedulerNotice]:
        """Returns the notices since the last call."""
        notices = self._notices
        self._notices = []
        return notices

    def apply(self, state: UpstreamState) -> None:
        """Sets the allowance of an upstream that is announced again.

        Args:
            state: The upstream.
        """
        health = self._healths.get(state.spec.name)
        if health is not None:
            self._exclusions.apply(state.spec.name, health)

    def discard_outcomes(self, upstream: str) -> None:
        """Drops the outcomes of an upstream; its ejection stays.

        Args:
            upstream: Name of the upstream.
        """
        self._statistics.discard_outcomes(upstream)
        if upstream not in self._exclusions.excluded:
            self._healths.pop(upstream, None)

    def retain_kinds(self, service: str, kinds: Iterable[str]) -> None:
        """Drops request kinds that a service's document has no more.

        Args:
            service: Name of the service.
            kinds: Names of its request kinds.
        """
        self._statistics.retain_kinds(service, set(kinds))

    def record(
        self,
        state: UpstreamState,
        kind: KindKey,
        now_s: float,
        *,
        failed: bool,
        log_slowdown: float = 0.0,
    ) -> None:
        """Takes an outcome in and judges the upstream.

        Args:
            state: The upstream.
            kind: Service and request kind of the task.
            now_s: The leader's monotonic clock.
            failed: Whether the task failed.
            log_slowdown: Logarithm of the run time over the estimate.
        """
        name = state.spec.name
        health = self._healths.get(name)
        if health is not None and health.state is HealthState.EJECTED:
            return
        recent = self._statistics.observe(kind, name, now_s, failed=failed)
        if health is None and failed:
            health = UpstreamHealth()
            self._healths[name] = health
        if health is not None:
            self._add_outcome(health, kind, now_s, failed=failed)
            self._evaluate(name, health, now_s)
            if not failed:
                self._raise_task_limit(state, health)
        if not failed:
            recent.observe_run(log_slowdown)
            if (
                recent.runs >= MIN_RUNS
                and recent.log_slowdown > COMPARED_LOG_SLOWDOWN
            ):
                self._eject_if_slow(name, kind, now_s)
        if self._exclusions.excluded:
            self._reevaluate_suspects(now_s)

    def advance(self, now_s: float) -> None:
        """Ends suspicions and ejections whose time is over.

        Args:
            now_s: The leader's monotonic clock.
        """
        for name, health in tuple(self._exclusions.excluded.items()):
            if now_s < health.until_s:
                continue
            if health.state is HealthState.EJECTED:
                health.task_limit = 1
                self._exclusions.readmit(name, health, HealthState.PROBATION)
                self._notices.append(UpstreamReadmitted(name))
            else:
                comparison = self._compare_with_peers(
                    name, health, since_s=-math.inf
                )
                self._end_suspicion(name, health, comparison, now_s)

    def _add_outcome(
        self,
        health: UpstreamHealth,
        kind: KindKey,
        now_s: float,
        *,
        failed: bool,
    ) -> None:
        if health.failure_test is None and failed:
            health.failure_test = FailureTest(now_s)
        if health.failure_test is not None:
            health.failure_test.add(kind, failed=failed)

    def _raise_task_limit(
        self,
        state: UpstreamState,
        health: UpstreamHealth,
    ) -> None:
        if health.state is HealthState.PROBATION:
            health.task_limit *= 2
            if health.task_limit >= state.spec.slots + state.queue_depth:
                health.task_limit = UNLIMITED_TASKS
                health.state = HealthState.HEALTHY
                health.failure_test = None
            self._exclusions.apply(state.spec.name, health)

    def _evaluate(
        self,
        name: str,
        health: UpstreamHealth,
        now_s: float,
    ) -> None:
        failure_test = health.failure_test
        if failure_test is None:
            return
        max_score = failure_test.max_score()
        if max_score >= health.suspicion_score:
            self._evaluate_suspicious(name, health, now_s)
            return
        if health.state is HealthState.SUSPECT:
            self._clear_suspicion(name, health)
        if max_score <= 0 or failure_test.ended > MAX_TEST_OUTCOMES:
            health.failure_test = None

    def _evaluate_suspicious(
        self,
        name: str,
        health: UpstreamHealth,
        now_s: float,
    ) -> None:
        comparison = self._compare_with_peers(
            name, health, health.failure_test.started_s
        )
        if comparison.score >= health.ejection_score:
            self._eject_failing(name, health, comparison, now_s)
        elif comparison.conclusive:
            if health.state is HealthState.SUSPECT:
                self._clear_suspicion(name, health)
            if health.failure_test.ended > MAX_TEST_OUTCOMES:
                health.failure_test = None
        elif not health.is_excluded and self._exclusions.may_exclude(name):
            until_s = now_s + MAX_SUSPICION_S
            suspect = HealthState.SUSPECT
            self._exclusions.exclude(name, health, suspect, until_s)

    def _eject_if_slow(self, name: str, kind: KindKey, now_s: float) -> None:
        excess = self._statistics.excess_log_slowdown(kind, name)
        if excess < EJECTED_LOG_SLOWDOWN or not self._exclusions.may_exclude(
            name
        ):
            return
        health = self._healths.setdefault(name, UpstreamHealth())
        if not health.is_excluded:
            factor = math.exp(excess)
            cause = f'ran {factor:.1f} times as long as its peers'
            self._statistics.discard_outcomes(name)
            self._eject(name, health, cause, now_s)

    def _reevaluate_suspects(self, now_s: float) -> None:
        for name, health in tuple(self._exclusions.excluded.items()):
            if health.state is HealthState.SUSPECT:
                self._evaluate_suspicious(name, health, now_s)

    def _end_suspicion(
        self,
        name: str,
        health: UpstreamHealth,
        comparison: PeerComparison,
        now_s: float,
    ) -> None:
        if comparison.score >= health.ejection_score:
            self._eject_failing(name, health, comparison, now_s)
        else:
            self._clear_suspicion(name, health)
            health.failure_test = None

    def _compare_with_peers(
        self,
        name: str,
        health: UpstreamHealth,
        since_s: float,
    ) -> PeerComparison:
        peers = max(
            (_count_serving(pool) for pool in self._registry.pools_of(name)),
            default=0,
        )
        return self._statistics.compare(
            name, health.failure_test, peers, since_s
        )

    def _eject_failing(
        self,
        name: str,
        health: UpstreamHealth,
        comparison: PeerComparison,
        now_s: float,
    ) -> None:
        if health.is_excluded or self._exclusions.may_exclude(name):
            failure_test = health.failure_test
            cause = (
                f'failed {failure_test.failed} of {failure_test.ended} tasks, '
                f'its peers {comparison.peer_failure_rate:.0%}'
            )
            self._eject(name, health, cause, now_s)

    def _eject(
        self,
        name: str,
        health: UpstreamHealth,
        cause: str,
        now_s: float,
    ) -> None:
        health.ejection_s = health.next_ejection_s(now_s)
        health.ejected_s = now_s
        health.failure_test = None
        until_s = now_s + health.ejection_s
        ejected = HealthState.EJECTED
        self._exclusions.exclude(name, health, ejected, until_s)
        self._notices.append(UpstreamEjected(name, cause, health.until_s))

    def _clear_suspicion(self, name: str, health: UpstreamHealth) -> None:
        on_probation = health.task_limit < UNLIMITED_TASKS
        self._exclusions.readmit(
            name,
            health,
            HealthState.PROBATION if on_probation else HealthState.HEALTHY,
        )


def _count_serving(pool: UpstreamPool) -> int:
    """Returns the members that get tasks, as far as they need counting."""
    serving = (
        state
        for state in pool.members.values()
        if state.available and state.task_limit > 0
    )
    return sum(1 for _ in islice(serving, MIN_PEERS))
