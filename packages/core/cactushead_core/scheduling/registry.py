"""Registry of the announced upstreams and their pools."""

from collections.abc import Callable, Collection

from ..agents.model import UpstreamSpec
from ..documents.model import Selector
from .model import ALLOCATION_TOLERANCE, UpstreamState
from .pool import UpstreamPool, matches_selector


class UpstreamRegistry:
    """Assigns each announced upstream to the pools whose selectors match.

    Explanation:
        Services with equal selectors share a pool. A change of an upstream's
        free capacity updates only the pools that contain it.
    """

    def __init__(
        self,
        preference: Callable[[UpstreamState], int],
        queue_depth: int = 0,
    ) -> None:
        """Creates an empty registry.

        Args:
            preference: Returns the preference of an upstream with free
                capacity, from 1.
            queue_depth: Tasks that may wait at an agent beyond its slots.
        """
        self.states: dict[str, UpstreamState] = {}
        self._preference = preference
        self._queue_depth = queue_depth
        self._pools: dict[Selector, UpstreamPool] = {}
        self._memberships: dict[str, list[UpstreamPool]] = {}

    def pool(self, selector: Selector) -> UpstreamPool:
        """Returns the pool of a selector, creating it if necessary.

        Args:
            selector: Selector of a service's document.
        """
        pool = self._pools.get(selector)
        if pool is None:
            pool = UpstreamPool(selector, self._preference)
            self._pools[selector] = pool
            for name, state in self.states.items():
                if matches_selector(selector, state.spec):
                    pool.add(state)
                    self._memberships[name].append(pool)
        return pool

    def retain_pools(self, selectors: Collection[Selector]) -> None:
        """Removes the pools that no document uses any more.

        Args:
            selectors: Selectors of all documents in force.
        """
        for selector in set(self._pools).difference(selectors):
            pool = self._pools.pop(selector)
            for name in pool.members:
                self._memberships[name].remove(pool)

    def pools_of(self, upstream: str) -> list[UpstreamPool]:
        """Returns the pools that contain an upstream.

        Args:
            upstream: Name of the upstream.
        """
        return self._memberships.get(upstream, [])

    def register(
        self,
        spec: UpstreamSpec,
        *,
        available: bool,
        now_s: float,
    ) -> UpstreamState:
        """Adds an upstream or updates its specification and availability.

        Args:
            spec: The announced upstream.
            available: Whether it may get tasks.
            now_s: Current time on the leader's monotonic clock.

        Returns:
            State of the upstream.
        """
        state = self.states.get(spec.name)
        if state is None:
            state = UpstreamState(spec, queue_depth=self._queue_depth)
            self.states[spec.name] = state
            self._join_pools(state)
        elif state.spec != spec:
            self._leave_pools(state, now_s)
            state.spec = spec
            self._join_pools(state)
        state.available = available
        self.update(state)
        return state

    def remove(self, state: UpstreamState, now_s: float) -> None:
        """Removes an upstream.

        Args:
            state: The upstream.
            now_s: Current time on the leader's monotonic clock.
        """
        self._leave_pools(state, now_s)
        self.states.pop(state.spec.name)

    def update(self, state: UpstreamState) -> None:
        """Updates the free capacity of an upstream in its pools.

        Args:
            state: The upstream.
        """
        state.refresh()
        for pool in self._memberships.get(state.spec.name, ()):
            pool.update(state)

    def check_invariants(self) -> None:
        """Checks all upstreams and pools.

        Raises:
            AssertionError: A counter or an index is wrong.
        """
        for name, state in self.states.items():
            assert state.allocated_cores >= -ALLOCATION_TOLERANCE, (
                f'{name}: allocated cores below 0'
            )
            for pool in self._memberships[name]:
                assert pool.members[name] is state, (
                    f'{name}: pool has another state'
                )
        for pool in self._pools.values():
            pool.check_invariants()

    def _join_pools(self, state: UpstreamState) -> None:
        """Adds an upstream to all pools whose selectors match."""
        pools = [
            pool
            for pool in self._pools.values()
            if matches_selector(pool.selector, state.spec)
        ]
        self._memberships[state.spec.name] = pools
        for pool in pools:
            pool.add(state)

    def _leave_pools(self, state: UpstreamState, now_s: float) -> None:
        """Removes an upstream from all its pools."""
        for pool in self._memberships.pop(state.spec.name):
            pool.discard(state, now_s)
