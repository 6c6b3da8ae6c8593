"""Which upstreams are out, and for how long."""

import math
from dataclasses import dataclass
from enum import StrEnum

from .failure_statistics import FailureTest
from .model import UNLIMITED_TASKS
from .pool import UpstreamPool
from .registry import UpstreamRegistry

# Three failures in a row while the peers have none, and four.
SUSPICION_SCORE = 9.0
EJECTION_SCORE = 12.0
# One failure while the peers have none.
PROBATION_SCORE = 3.0
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
MAX_EXCLUDED_SHARE = 0.5
# Ejections longer ago than this many times the last one are forgotten.
BACKOFF_RESET_FACTOR = 10.0


class HealthState(StrEnum):
    """Where an upstream stands."""

    HEALTHY = 'healthy'
    SUSPECT = 'suspect'
    EJECTED = 'ejected'
    PROBATION = 'probation'


@dataclass(slots=True)
class UpstreamHealth:
    """What is held against an upstream.

    Attributes:
        state: Where it stands.
        streak: Outcomes since its first failure, None without one.
        allowance: Tasks that it may have while it is healthy or on
            probation.
        until_s: End of the suspicion or ejection.
        ejection_s: Duration of the last ejection, 0 for none.
        ejected_s: When that began.
    """

    state: HealthState = HealthState.HEALTHY
    failure_test: FailureTest | None = None
    task_limit: int = UNLIMITED_TASKS
    until_s: float = math.inf
    ejection_s: float = 0.0
    ejected_s: float = -math.inf

    @property
    def is_excluded(self) -> bool:
        """Whether it gets no tasks."""
        return self.state in {HealthState.SUSPECT, HealthState.EJECTED}

    @property
    def suspicion_score(self) -> float:
        """Score at which it gets no more work until it is judged."""
        return min(SUSPICION_SCORE, self.ejection_score)

    @property
    def ejection_score(self) -> float:
        """Score at which it is ejected."""
        if self.task_limit < UNLIMITED_TASKS:
            return PROBATION_SCORE
        return EJECTION_SCORE

    def next_ejection_s(self, now_s: float) -> float:
        """Returns how long an ejection lasts that begins now.

        Args:
            now_s: The leader's monotonic clock.
        """
        since_s = now_s - self.ejected_s
        if since_s > self.ejection_s * BACKOFF_RESET_FACTOR:
            return FIRST_EJECTION_S
        return min(MAX_EJECTION_S, 2 * self.ejection_s)


class Exclusions:
    """Takes upstreams out and lets them back, within bounds.

    Attributes:
        out: Health of the upstreams that are out, by name.
    """

    def __init__(self, registry: UpstreamRegistry) -> None:
        """Starts with no upstream out.

        Args:
            registry: The upstreams.
        """
        self.excluded: dict[str, UpstreamHealth] = {}
        self._registry = registry

    @property
    def next_change_s(self) -> float:
        """When the next suspicion or ejection ends, infinity for none."""
        return min(
            (health.until_s for health in self.excluded.values()),
            default=math.inf,
        )

    def may_exclude(self, name: str) -> bool:
        """Whether enough upstreams are left in each pool without this one.

        Args:
            name: Name of the upstream.
        """
        return all(
            self._leaves_enough(pool) for pool in self._registry.pools_of(name)
        )

    def exclude(
        self,
        name: str,
        health: UpstreamHealth,
        state: HealthState,
        until_s: float,
    ) -> None:
        """Gives an upstream no more tasks.

        Args:
            name: Name of the upstream.
            health: Its health.
            state: Why it is out.
            until_s: When that ends.
        """
        health.state = state
        health.until_s = until_s
        self.excluded[name] = health
        self.apply(name, health)

    def readmit(
        self,
        name: str,
        health: UpstreamHealth,
        state: HealthState,
    ) -> None:
        """Lets an upstream have tasks again, as many as its allowance.

        Args:
            name: Name of the upstream.
            health: Its health.
            state: Where it stands from now on.
        """
        health.state = state
        health.until_s = math.inf
        self.excluded.pop(name)
        self.apply(name, health)

    def apply(self, name: str, health: UpstreamHealth) -> None:
        """Sets how many tasks an upstream may have.

        Args:
            name: Name of the upstream; it may be gone.
            health: Its health.
        """
        state = self._registry.states.get(name)
        if state is not None:
            state.task_limit = 0 if health.is_excluded else health.task_limit
            self._registry.update(state)

    def _leaves_enough(self, pool: UpstreamPool) -> bool:
        available = [
            member for member, state in pool.members.items() if state.available
        ]
        excluded = 1 + sum(member in self.excluded for member in available)
        return excluded <= len(available) * MAX_EXCLUDED_SHARE
