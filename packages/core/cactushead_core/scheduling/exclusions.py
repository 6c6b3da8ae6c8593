"""Exclusion of suspect and ejected upstreams from placement."""

import math
from dataclasses import dataclass
from enum import StrEnum

from .failure_statistics import FailureTest
from .model import UNLIMITED_TASKS
from .pool import UpstreamPool
from .registry import UpstreamRegistry

# Three and four consecutive failures while the peers have none.
SUSPICION_SCORE = 9.0
EJECTION_SCORE = 12.0
# One failure while the peers have none.
PROBATION_SCORE = 3.0
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
MAX_EXCLUDED_SHARE = 0.5
# The ejection time is reset to the first one if the last ejection began longer
# ago than this multiple of its duration.
BACKOFF_RESET_FACTOR = 10.0


class HealthState(StrEnum):
    """Health of an upstream."""

    HEALTHY = 'healthy'
    SUSPECT = 'suspect'
    EJECTED = 'ejected'
    PROBATION = 'probation'


@dataclass(slots=True)
class UpstreamHealth:
    """Health state and failure history of an upstream.

    Attributes:
        state: The health state.
        failure_test: Outcomes since its first failure, None without one.
        task_limit: Most tasks that it may have while it is healthy or on
            probation.
        until_s: End of the suspicion or ejection.
        ejection_s: Duration of the last ejection, 0 for none.
        ejected_s: When the last ejection began.
    """

    state: HealthState = HealthState.HEALTHY
    failure_test: FailureTest | None = None
    task_limit: int = UNLIMITED_TASKS
    until_s: float = math.inf
    ejection_s: float = 0.0
    ejected_s: float = -math.inf

    @property
    def is_excluded(self) -> bool:
        """Whether the upstream gets no tasks."""
        return self.state in {HealthState.SUSPECT, HealthState.EJECTED}

    @property
    def suspicion_score(self) -> float:
        """Score from which on it is compared with its peers.

        Until the comparison is conclusive it is suspect and gets no tasks.
        """
        return min(SUSPICION_SCORE, self.ejection_score)

    @property
    def ejection_score(self) -> float:
        """Score from which on it is ejected."""
        if self.task_limit < UNLIMITED_TASKS:
            return PROBATION_SCORE
        return EJECTION_SCORE

    def next_ejection_s(self, now_s: float) -> float:
        """Returns the duration of an ejection that begins now.

        Args:
            now_s: Current time on the leader's monotonic clock.
        """
        since_s = now_s - self.ejected_s
        if since_s > self.ejection_s * BACKOFF_RESET_FACTOR:
            return FIRST_EJECTION_S
        return min(MAX_EJECTION_S, 2 * self.ejection_s)


class Exclusions:
    """Excludes upstreams from placement, a limited share of each pool.

    Attributes:
        excluded: Health of the excluded upstreams, by name.
    """

    def __init__(self, registry: UpstreamRegistry) -> None:
        """Creates an empty set of exclusions.

        Args:
            registry: The upstreams.
        """
        self.excluded: dict[str, UpstreamHealth] = {}
        self._registry = registry

    @property
    def next_change_s(self) -> float:
        """When the next suspicion or ejection ends, infinity if none does."""
        return min(
            (health.until_s for health in self.excluded.values()),
            default=math.inf,
        )

    def may_exclude(self, name: str) -> bool:
        """Whether excluding an upstream leaves enough in each of its pools.

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
        """Excludes an upstream from placement.

        Args:
            name: Name of the upstream.
            health: Its health.
            state: The new health state, suspect or ejected.
            until_s: When the exclusion ends.
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
        """Ends the exclusion of an upstream; its task limit applies again.

        Args:
            name: Name of the upstream.
            health: Its health.
            state: The new health state, healthy or on probation.
        """
        health.state = state
        health.until_s = math.inf
        self.excluded.pop(name)
        self.apply(name, health)

    def apply(self, name: str, health: UpstreamHealth) -> None:
        """Sets the effective task limit of an upstream from its health.

        Args:
            name: Name of the upstream, which may have been removed.
            health: Its health.
        """
        state = self._registry.states.get(name)
        if state is not None:
            state.task_limit = 0 if health.is_excluded else health.task_limit
            self._registry.update(state)

    def _leaves_enough(self, pool: UpstreamPool) -> bool:
        """Whether a pool may lose one more of its available upstreams."""
        available = [
            member for member, state in pool.members.items() if state.available
        ]
        excluded = 1 + sum(member in self.excluded for member in available)
        return excluded <= len(available) * MAX_EXCLUDED_SHARE
