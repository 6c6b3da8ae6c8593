"""Outlier detection: ejects failing or slow upstreams and readmits them.

Explanation:
    An upstream that fails every task at once always has free slots and
    therefore attracts tasks. So an upstream whose failures would be suspicious
    among peers without failures becomes suspect if too few peers have
    completed tasks of the same kind since its first failure. It then gets no
    tasks until they have, or until one second has passed.

    The ejection time doubles with each ejection. A readmitted upstream is on
    probation: its task limit is one at first and doubles with each success;
    one failure ejects it again unless its peers fail too. The low limit gives
    it little free capacity, so it is used only when the others are busy. At
    most half of the available upstreams of each pool are excluded at a time.
"""

import math
from collections.abc import Iterable
from itertools import islice

from .exclusions import Exclusions, HealthState, UpstreamHealth
from .failure_statistics import (
    MAX_TEST_OUTCOMES,
    MIN_PEERS,
    MIN_SLOWDOWN_RUNS,
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
# Logarithms of slowdowns. An upstream that needs twice the estimated run time
# is compared with its peers; four times the slowdown of the peers ejects it.
PEER_CHECK_LOG_SLOWDOWN = math.log(2)
MAX_LOG_SLOWDOWN = math.log(4)


class HealthMonitor:
    """Evaluates upstreams by task outcomes and sets their task limits."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        """Creates a monitor that regards all upstreams as healthy.

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
        """When the next suspicion or ejection ends, infinity if none does."""
        return self._exclusions.next_change_s

    def drain_notices(self) -> list[SchedulerNotice]:
        """Returns and removes the notices since the last call."""
        notices = self._notices
        self._notices = []
        return notices

    def apply(self, state: UpstreamState) -> None:
        """Applies the known health to an upstream that was announced again.

        Args:
            state: The upstream.
        """
        health = self._healths.get(state.spec.name)
        if health is not None:
            self._exclusions.apply(state.spec.name, health)

    def discard_outcomes(self, upstream: str) -> None:
        """Removes the outcomes of an upstream.

        A current suspicion or ejection remains in force.

        Args:
            upstream: Name of the upstream.
        """
        self._statistics.discard_outcomes(upstream)
        if upstream not in self._exclusions.excluded:
            self._healths.pop(upstream, None)

    def retain_kinds(self, service: str, kinds: Iterable[str]) -> None:
        """Removes the outcomes of request kinds that no longer exist.

        Args:
            service: Name of the service.
            kinds: Names of the request kinds in its current document.
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
        """Records a task outcome and evaluates the upstream.

        Args:
            state: The upstream.
            kind: Service and request kind of the task.
            now_s: Current time on the leader's monotonic clock.
            failed: Whether the task failed.
            log_slowdown: Logarithm of run time over estimate.
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
                recent.runs >= MIN_SLOWDOWN_RUNS
                and recent.log_slowdown > PEER_CHECK_LOG_SLOWDOWN
            ):
                self._eject_if_slow(name, kind, now_s)
        if self._exclusions.excluded:
            self._reevaluate_suspects(now_s)

    def advance(self, now_s: float) -> None:
        """Ends suspicions and ejections that have expired.

        Args:
            now_s: Current time on the leader's monotonic clock.
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
        """Adds an outcome to the failure test; a failure starts a test."""
        if health.failure_test is None and failed:
            health.failure_test = FailureTest(now_s)
        if health.failure_test is not None:
            health.failure_test.add(kind, failed=failed)

    def _raise_task_limit(
        self,
        state: UpstreamState,
        health: UpstreamHealth,
    ) -> None:
        """Doubles the task limit on probation until it covers all slots."""
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
        """Compares an upstream with its peers if its failures require it."""
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
        """Ejects, clears or suspects an upstream by its peers' outcomes."""
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
        """Ejects an upstream that is much slower than its peers."""
        excess = self._statistics.excess_log_slowdown(kind, name)
        if excess < MAX_LOG_SLOWDOWN or not self._exclusions.may_exclude(name):
            return
        health = self._healths.setdefault(name, UpstreamHealth())
        if not health.is_excluded:
            factor = math.exp(excess)
            cause = f'ran {factor:.1f} times as long as its peers'
            self._statistics.discard_outcomes(name)
            self._eject(name, health, cause, now_s)

    def _reevaluate_suspects(self, now_s: float) -> None:
        """Evaluates suspects again after new outcomes of their peers."""
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
        """Ejects or clears a suspect after its suspicion has expired."""
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
        """Compares the failure test of an upstream with its peers."""
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
        """Ejects a failing upstream unless too many are excluded already."""
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
        """Excludes an upstream for the next ejection time."""
        health.ejection_s = health.next_ejection_s(now_s)
        health.ejected_s = now_s
        health.failure_test = None
        until_s = now_s + health.ejection_s
        ejected = HealthState.EJECTED
        self._exclusions.exclude(name, health, ejected, until_s)
        self._notices.append(UpstreamEjected(name, cause, health.until_s))

    def _clear_suspicion(self, name: str, health: UpstreamHealth) -> None:
        """Readmits a suspect, on probation if it was on probation before."""
        on_probation = health.task_limit < UNLIMITED_TASKS
        self._exclusions.readmit(
            name,
            health,
            HealthState.PROBATION if on_probation else HealthState.HEALTHY,
        )


def _count_serving(pool: UpstreamPool) -> int:
    """Returns how many members get tasks, at most `MIN_PEERS`."""
    serving = (
        state
        for state in pool.members.values()
        if state.available and state.task_limit > 0
    )
    return sum(1 for _ in islice(serving, MIN_PEERS))
