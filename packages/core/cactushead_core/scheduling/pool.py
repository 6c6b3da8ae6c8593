"""The upstreams that match a selector, indexed by how much room they have."""

from collections.abc import Callable, Iterator

from ..agents.model import UpstreamSpec
from ..documents.model import Selector
from .model import UpstreamState, WorkerSize

# A worker that left may come back, so its size counts for this long.
SIZE_MEMORY_S = 600.0
SIZE_MEMORY_ENTRIES = 64


def selects(selector: Selector, spec: UpstreamSpec) -> bool:
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
        An upstream with room stands in the bucket of its preference, a small
        integer that the placement policy gives. Choosing the best upstream
        looks into the highest bucket, whatever the number of upstreams; a
        booking moves one upstream between two buckets.
    """

    def __init__(
        self,
        selector: Selector,
        prefer: Callable[[UpstreamState], int],
    ) -> None:
        """Starts without upstreams.

        Args:
            selector: Which upstreams belong to the pool.
            prefer: Gives the preference of an upstream with room, from 1.
        """
        self.selector = selector
        self.members: dict[str, UpstreamState] = {}
        self._prefer = prefer
        self._buckets: list[dict[str, UpstreamState]] = [{}]
        self._places: dict[str, int] = {}
        self._highest = 0
        self._rooms: dict[str, int] = {}
        self.room = 0
        self.slots = 0
        self._sizes: dict[WorkerSize, int] = {}
        self._departed: dict[WorkerSize, float] = {}

    def add(self, state: UpstreamState) -> None:
        """Adds an upstream.

        Args:
            state: The upstream; no member has its name.
        """
        name = state.spec.name
        self.members[name] = state
        self._places[name] = 0
        self._rooms[name] = 0
        self._buckets[0][name] = state
        self.slots += state.spec.slots
        self._sizes[state.size] = self._sizes.get(state.size, 0) + 1
        self.update(state)

    def discard(self, state: UpstreamState, now_s: float) -> None:
        """Removes an upstream that left or matches no more.

        Args:
            state: A member, with the announcement that it was added with.
            now_s: The leader's monotonic clock.
        """
        name = state.spec.name
        self.members.pop(name)
        self.slots -= state.spec.slots
        self.room -= self._rooms.pop(name)
        self._buckets[self._places.pop(name)].pop(name)
        self._lower_highest()
        self._sizes[state.size] -= 1
        if not self._sizes[state.size]:
            self._sizes.pop(state.size)
        self._departed.pop(state.size, None)
        self._departed[state.size] = now_s
        if len(self._departed) > SIZE_MEMORY_ENTRIES:
            self._departed.pop(next(iter(self._departed)))

    def update(self, state: UpstreamState) -> None:
        """Moves an upstream to the bucket of its present room.

        Args:
            state: A member.
        """
        name = state.spec.name
        room = state.room
        change = room - self._rooms[name]
        if change:
            self.room += change
            self._rooms[name] = room
        place = self._prefer(state) if room else 0
        former = self._places[name]
        if place != former:
            self._move(state, former, place)

    def buckets(self) -> Iterator[dict[str, UpstreamState]]:
        """Yields the upstreams with room, the most preferred bucket first."""
        for place in range(self._highest, 0, -1):
            bucket = self._buckets[place]
            if bucket:
                yield bucket

    def could_ever_fit(
        self,
        cores: float,
        memory_mb: float,
        now_s: float,
    ) -> bool:
        """Whether a declared size fits a known worker when it is idle.

        Args:
            cores: Declared cores.
            memory_mb: Declared memory.
            now_s: The leader's monotonic clock.
        """
        if any(size.holds(cores, memory_mb) for size in self._sizes):
            return True
        return any(
            size.holds(cores, memory_mb)
            for size, departed_s in self._departed.items()
            if now_s - departed_s <= SIZE_MEMORY_S
        )

    def check_invariants(self) -> None:
        """Checks the sums over the members; scans all.

        Raises:
            AssertionError: A sum doesn't match.
        """
        members = tuple(self.members.values())
        slots = sum(state.spec.slots for state in members)
        assert self.slots == slots, f'{self.selector} has {slots} slots'
        for state in members:
            state.refresh()
            assert self._rooms[state.spec.name] == state.room, state.spec.name
        room = sum(self._rooms.values())
        assert self.room == room, f'{self.selector} has room {room}'

    def _lower_highest(self) -> None:
        while self._highest > 0 and not self._buckets[self._highest]:
            self._highest -= 1

    def _move(self, state: UpstreamState, former: int, place: int) -> None:
        name = state.spec.name
        buckets = self._buckets
        buckets[former].pop(name)
        while len(buckets) <= place:
            buckets.append({})
        buckets[place][name] = state
        self._places[name] = place
        if place > self._highest:
            self._highest = place
        elif former == self._highest and not buckets[former]:
            self._lower_highest()
