"""Which upstreams are out, and for how long."""

import math
from dataclasses import dataclass
from enum import StrEnum

from .evidence import Streak
from .model import UNLIMITED_TASKS
from .pool import UpstreamPool
from .registry import UpstreamRegistry

# Three failures in a row while the peers have none, and four.
SUSPICION_SCORE = 9.0
EJECTION_SCORE = 12.0
# One failure while the peers have none.
PROBATION_SCORE = 3.0
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 300.0
LARGEST_EJECTED_SHARE = 0.5
# Ejections longer ago than this many times the last one are forgotten.
FORGET_FACTOR = 10.0


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
    streak: Streak | None = None
    allowance: int = UNLIMITED_TASKS
    until_s: float = math.inf
    ejection_s: float = 0.0
    ejected_s: float = -math.inf

    @property
    def is_out(self) -> bool:
        """Whether it gets no tasks."""
        return self.state in {HealthState.SUSPECT, HealthState.EJECTED}

    @property
    def suspicious_score(self) -> float:
        """Score at which it gets no more work until it is judged."""
        return min(SUSPICION_SCORE, self.needed_score)

    @property
    def needed_score(self) -> float:
        """Score at which it is ejected."""
        if self.allowance < UNLIMITED_TASKS:
            return PROBATION_SCORE
        return EJECTION_SCORE

    def next_ejection_s(self, now_s: float) -> float:
        """Returns how long an ejection lasts that begins now.

        Args:
            now_s: The leader's monotonic clock.
        """
        since_s = now_s - self.ejected_s
        if since_s > self.ejection_s * FORGET_FACTOR:
            return FIRST_EJECTION_S
        return min(LONGEST_EJECTION_S, 2 * self.ejection_s)


class Isolation:
    """Takes upstreams out and lets them back, within bounds.

    Attributes:
        out: Health of the upstreams that are out, by name.
    """

    def __init__(self, registry: UpstreamRegistry) -> None:
        """Starts with no upstream out.

        Args:
            registry: The upstreams.
        """
        self.out: dict[str, UpstreamHealth] = {}
        self._registry = registry

    @property
    def next_change_s(self) -> float:
        """When the next suspicion or ejection ends, infinity for none."""
        return min(
            (health.until_s for health in self.out.values()),
            default=math.inf,
        )

    def may_take_out(self, name: str) -> bool:
        """Whether enough upstreams are left in each pool without this one.

        Args:
            name: Name of the upstream.
        """
        return all(
            self._leaves_enough(pool) for pool in self._registry.pools_of(name)
        )

    def take_out(
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
        self.out[name] = health
        self.apply(name, health)

    def bring_back(
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
        self.out.pop(name)
        self.apply(name, health)

    def apply(self, name: str, health: UpstreamHealth) -> None:
        """Sets how many tasks an upstream may have.

        Args:
            name: Name of the upstream; it may be gone.
            health: Its health.
        """
        state = self._registry.states.get(name)
        if state is not None:
            state.allowance = 0 if health.is_out else health.allowance
            self._registry.update(state)

    def _leaves_enough(self, pool: UpstreamPool) -> bool:
        available = [
            member for member, state in pool.members.items() if state.available
        ]
        out = 1 + sum(member in self.out for member in available)
        return out <= len(available) * LARGEST_EJECTED_SHARE
