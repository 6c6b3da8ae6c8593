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

from .evidence import (
    NEEDED_PEERS,
    STREAK_OUTCOMES,
    TRUSTED_RUNS,
    KindKey,
    PeerEvidence,
    Streak,
    Verdict,
)
from .isolation import HealthState, Isolation, UpstreamHealth
from .model import UNLIMITED_TASKS, UpstreamState
from .notices import SchedulerNotice, UpstreamEjected, UpstreamReadmitted
from .pool import UpstreamPool
from .registry import UpstreamRegistry

SUSPECT_S = 1.0
# Logarithms of run times over estimates: twice as long is worth a look at the
# peers, four times as long as they is too slow.
SLOW_HINT = math.log(2)
SLOW_EXCESS = math.log(4)


class HealthMonitor:
    """Judges upstreams by their outcomes and sets their allowance."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        """Starts with all upstreams healthy.

        Args:
            registry: The upstreams.
        """
        self._registry = registry
        self._evidence = PeerEvidence()
        self._healths: dict[str, UpstreamHealth] = {}
        self._isolation = Isolation(registry)
        self._notices: list[SchedulerNotice] = []

    @property
    def next_change_s(self) -> float:
        """When the next suspicion or ejection ends, infinity for none."""
        return self._isolation.next_change_s

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
            self._isolation.apply(state.spec.name, health)

    def forget_upstream(self, upstream: str) -> None:
        """Drops the outcomes of an upstream; its ejection stays.

        Args:
            upstream: Name of the upstream.
        """
        self._evidence.forget_upstream(upstream)
        if upstream not in self._isolation.out:
            self._healths.pop(upstream, None)

    def keep_kinds(self, service: str, kinds: Iterable[str]) -> None:
        """Drops request kinds that a service's document has no more.

        Args:
            service: Name of the service.
            kinds: Names of its request kinds.
        """
        self._evidence.keep_kinds(service, set(kinds))

    def record(
        self,
        state: UpstreamState,
        kind: KindKey,
        now_s: float,
        *,
        failed: bool,
        slowness: float = 0.0,
    ) -> None:
        """Takes an outcome in and judges the upstream.

        Args:
            state: The upstream.
            kind: Service and request kind of the task.
            now_s: The leader's monotonic clock.
            failed: Whether the task failed.
            slowness: Logarithm of the run time over the estimate.
        """
        name = state.spec.name
        health = self._healths.get(name)
        if health is not None and health.state is HealthState.EJECTED:
            return
        recent = self._evidence.observe(kind, name, now_s, failed=failed)
        if health is None and failed:
            health = UpstreamHealth()
            self._healths[name] = health
        if health is not None:
            self._note(health, kind, now_s, failed=failed)
            self._judge(name, health, now_s)
            if not failed:
                self._note_success(state, health)
        if not failed:
            recent.observe_run(slowness)
            if recent.runs >= TRUSTED_RUNS and recent.slowness > SLOW_HINT:
                self._judge_slow(name, kind, now_s)
        if self._isolation.out:
            self._review_suspects(now_s)

    def advance(self, now_s: float) -> None:
        """Ends suspicions and ejections whose time is over.

        Args:
            now_s: The leader's monotonic clock.
        """
        for name, health in tuple(self._isolation.out.items()):
            if now_s < health.until_s:
                continue
            if health.state is HealthState.EJECTED:
                health.allowance = 1
                self._isolation.bring_back(name, health, HealthState.PROBATION)
                self._notices.append(UpstreamReadmitted(name))
            else:
                verdict = self._weigh(name, health, since_s=-math.inf)
                self._end_suspicion(name, health, verdict, now_s)

    def _note(
        self,
        health: UpstreamHealth,
        kind: KindKey,
        now_s: float,
        *,
        failed: bool,
    ) -> None:
        if health.streak is None and failed:
            health.streak = Streak(now_s)
        if health.streak is not None:
            health.streak.add(kind, failed=failed)

    def _note_success(
        self,
        state: UpstreamState,
        health: UpstreamHealth,
    ) -> None:
        if health.state is HealthState.PROBATION:
            health.allowance *= 2
            if health.allowance >= state.spec.slots + state.queue_depth:
                health.allowance = UNLIMITED_TASKS
                health.state = HealthState.HEALTHY
                health.streak = None
            self._isolation.apply(state.spec.name, health)

    def _judge(
        self,
        name: str,
        health: UpstreamHealth,
        now_s: float,
    ) -> None:
        streak = health.streak
        if streak is None:
            return
        highest = streak.highest_score()
        if highest >= health.suspicious_score:
            self._judge_bad(name, health, now_s)
            return
        if health.state is HealthState.SUSPECT:
            self._resume(name, health)
        if highest <= 0 or streak.ended > STREAK_OUTCOMES:
            health.streak = None

    def _judge_bad(
        self,
        name: str,
        health: UpstreamHealth,
        now_s: float,
    ) -> None:
        verdict = self._weigh(name, health, health.streak.began_s)
        if verdict.score >= health.needed_score:
            self._eject_failing(name, health, verdict, now_s)
        elif verdict.decided:
            if health.state is HealthState.SUSPECT:
                self._resume(name, health)
            if health.streak.ended > STREAK_OUTCOMES:
                health.streak = None
        elif not health.is_out and self._isolation.may_take_out(name):
            until_s = now_s + SUSPECT_S
            suspect = HealthState.SUSPECT
            self._isolation.take_out(name, health, suspect, until_s)

    def _judge_slow(self, name: str, kind: KindKey, now_s: float) -> None:
        excess = self._evidence.excess_slowness(kind, name)
        if excess < SLOW_EXCESS or not self._isolation.may_take_out(name):
            return
        health = self._healths.setdefault(name, UpstreamHealth())
        if not health.is_out:
            factor = math.exp(excess)
            cause = f'ran {factor:.1f} times as long as its peers'
            self._evidence.forget_upstream(name)
            self._eject(name, health, cause, now_s)

    def _review_suspects(self, now_s: float) -> None:
        for name, health in tuple(self._isolation.out.items()):
            if health.state is HealthState.SUSPECT:
                self._judge_bad(name, health, now_s)

    def _end_suspicion(
        self,
        name: str,
        health: UpstreamHealth,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        if verdict.score >= health.needed_score:
            self._eject_failing(name, health, verdict, now_s)
        else:
            self._resume(name, health)
            health.streak = None

    def _weigh(
        self,
        name: str,
        health: UpstreamHealth,
        since_s: float,
    ) -> Verdict:
        peers = max(
            (_count_serving(pool) for pool in self._registry.pools_of(name)),
            default=0,
        )
        return self._evidence.weigh(name, health.streak, peers, since_s)

    def _eject_failing(
        self,
        name: str,
        health: UpstreamHealth,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        if health.is_out or self._isolation.may_take_out(name):
            streak = health.streak
            cause = (
                f'failed {streak.failed} of {streak.ended} tasks, '
                f'its peers {verdict.peer_share:.0%}'
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
        health.streak = None
        until_s = now_s + health.ejection_s
        ejected = HealthState.EJECTED
        self._isolation.take_out(name, health, ejected, until_s)
        self._notices.append(UpstreamEjected(name, cause, health.until_s))

    def _resume(self, name: str, health: UpstreamHealth) -> None:
        on_probation = health.allowance < UNLIMITED_TASKS
        self._isolation.bring_back(
            name,
            health,
            HealthState.PROBATION if on_probation else HealthState.HEALTHY,
        )


def _count_serving(pool: UpstreamPool) -> int:
    """Returns the members that get tasks, as far as they need counting."""
    serving = (
        state
        for state in pool.members.values()
        if state.available and state.allowance > 0
    )
    return sum(1 for _ in islice(serving, NEEDED_PEERS))
