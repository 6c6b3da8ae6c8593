"""The upstreams that match a selector, indexed by placement preference."""

from collections.abc import Callable, Iterator

from ..agents.model import UpstreamSpec
from ..documents.model import Selector
from .model import UpstreamState, WorkerSize

# The size of a removed worker counts for this long, since it may come back.
SIZE_RETENTION_S = 600.0
MAX_RETAINED_SIZES = 64


def matches_selector(selector: Selector, spec: UpstreamSpec) -> bool:
    """Whether a selector matches an announced upstream.

    Args:
        selector: Selector of a service's document.
        spec: The announced upstream.
    """
    named = not selector.names or spec.name in selector.names
    return named and set(selector.labels) <= set(spec.labels)


class UpstreamPool:
    """Upstreams that match one selector, shared by services that use it.

    Explanation:
        The upstreams with free capacity are kept in buckets by preference, a
        small integer that the placement policy computes. The best upstream is
        found in the highest bucket, whatever the number of upstreams, and an
        allocation moves one upstream between two buckets.
    """

    def __init__(
        self,
        selector: Selector,
        preference: Callable[[UpstreamState], int],
    ) -> None:
        """Creates an empty pool.

        Args:
            selector: Selector of the upstreams in the pool.
            preference: Returns the preference of an upstream with free
                capacity, from 1.
        """
        self.selector = selector
        self.members: dict[str, UpstreamState] = {}
        self._preference = preference
        self._buckets: list[dict[str, UpstreamState]] = [{}]
        self._bucket_indexes: dict[str, int] = {}
        self._highest_index = 0
        self._member_capacities: dict[str, int] = {}
        self.free_capacity = 0
        self.slots = 0
        self._sizes: dict[WorkerSize, int] = {}
        self._removed_sizes: dict[WorkerSize, float] = {}

    def add(self, state: UpstreamState) -> None:
        """Adds an upstream.

        Args:
            state: The upstream, whose name must not be in the pool yet.
        """
        name = state.spec.name
        self.members[name] = state
        self._bucket_indexes[name] = 0
        self._member_capacities[name] = 0
        self._buckets[0][name] = state
        self.slots += state.spec.slots
        self._sizes[state.size] = self._sizes.get(state.size, 0) + 1
        self.update(state)

    def discard(self, state: UpstreamState, now_s: float) -> None:
        """Removes an upstream that left or no longer matches.

        Args:
            state: A member, with the same specification as when it was added.
            now_s: Current time on the leader's monotonic clock.
        """
        name = state.spec.name
        self.members.pop(name)
        self.slots -= state.spec.slots
        self.free_capacity -= self._member_capacities.pop(name)
        self._buckets[self._bucket_indexes.pop(name)].pop(name)
        self._lower_highest_index()
        self._sizes[state.size] -= 1
        if not self._sizes[state.size]:
            self._sizes.pop(state.size)
        self._removed_sizes.pop(state.size, None)
        self._removed_sizes[state.size] = now_s
        if len(self._removed_sizes) > MAX_RETAINED_SIZES:
            self._removed_sizes.pop(next(iter(self._removed_sizes)))

    def update(self, state: UpstreamState) -> None:
        """Moves an upstream to the bucket of its current preference.

        Args:
            state: A member.
        """
        name = state.spec.name
        free_capacity = state.free_capacity
        change = free_capacity - self._member_capacities[name]
        if change:
            self.free_capacity += change
            self._member_capacities[name] = free_capacity
        bucket_index = self._preference(state) if free_capacity else 0
        previous_index = self._bucket_indexes[name]
        if bucket_index != previous_index:
            self._move(state, previous_index, bucket_index)

    def buckets(self) -> Iterator[dict[str, UpstreamState]]:
        """Yields non-empty buckets of upstreams, most preferred first."""
        for bucket_index in range(self._highest_index, 0, -1):
            bucket = self._buckets[bucket_index]
            if bucket:
                yield bucket

    def fits_known_worker(
        self,
        cores: float,
        memory_mb: float,
        now_s: float,
    ) -> bool:
        """Whether a declared size fits a known or recently removed worker.

        The worker counts as idle.

        Args:
            cores: Declared cores.
            memory_mb: Declared memory.
            now_s: Current time on the leader's monotonic clock.
        """
        if any(size.can_fit(cores, memory_mb) for size in self._sizes):
            return True
        return any(
            size.can_fit(cores, memory_mb)
            for size, removed_s in self._removed_sizes.items()
            if now_s - removed_s <= SIZE_RETENTION_S
        )

    def check_invariants(self) -> None:
        """Recomputes the sums over all members and compares them.

        Raises:
            AssertionError: A sum is wrong.
        """
        members = tuple(self.members.values())
        slots = sum(state.spec.slots for state in members)
        assert self.slots == slots, f'{self.selector} has {slots} slots'
        for state in members:
            state.refresh()
            assert (
                self._member_capacities[state.spec.name] == state.free_capacity
            ), state.spec.name
        free_capacity = sum(self._member_capacities.values())
        assert self.free_capacity == free_capacity, (
            f'{self.selector} has free capacity {free_capacity}'
        )

    def _lower_highest_index(self) -> None:
        """Lowers the highest index to the highest non-empty bucket."""
        while (
            self._highest_index > 0 and not self._buckets[self._highest_index]
        ):
            self._highest_index -= 1

    def _move(
        self, state: UpstreamState, previous_index: int, bucket_index: int
    ) -> None:
        """Moves an upstream between buckets."""
        name = state.spec.name
        buckets = self._buckets
        buckets[previous_index].pop(name)
        while len(buckets) <= bucket_index:
            buckets.append({})
        buckets[bucket_index][name] = state
        self._bucket_indexes[name] = bucket_index
        if bucket_index > self._highest_index:
            self._highest_index = bucket_index
        elif (
            previous_index == self._highest_index
            and not buckets[previous_index]
        ):
            self._lower_highest_index()
