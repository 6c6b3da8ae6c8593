"""Limits of what connections hold, and whose holding ends at a limit.

Explanation:
    A pool limits one kind, such as bytes that were read ahead. When all
    holdings together pass the limit, others end to make room. Which ones, is
    decided so that a caller that reads its replies and sends one request at a
    time keeps its connection.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cactushead_core.errors import CactusheadError


class PoolExhaustedError(CactusheadError):
    """All holdings together are as large as they may be."""


class Holding:
    """What one connection, body, reply or stream holds of a pool.

    Attributes:
        size: Amount that is held.
        evictable: Whether it may end to make room for others.
        on_evict: Ends whatever holds the amount; it must not block.
    """

    __slots__ = ('_pool', 'evictable', 'on_evict', 'size')

    def __init__(
        self,
        pool: 'Pool',
        on_evict: Callable[[], None],
        *,
        evictable: bool = True,
    ) -> None:
        """Creates an empty holding.

        Args:
            pool: Pool of the amount.
            on_evict: Ends whatever holds the amount; it must not block.
            evictable: Whether it may end to make room for others.
        """
        self._pool = pool
        self.size = 0
        self.evictable = evictable
        self.on_evict = on_evict

    def grow(self, size: int) -> None:
        """Takes a further amount; see `Pool.grow`.

        Args:
            size: The amount.

        Raises:
            PoolExhaustedError: The pool has no room for it.
        """
        self._pool.grow(self, size)

    def resize(self, size: int) -> None:
        """Takes or returns the difference to an amount; see `Pool.grow`.

        Args:
            size: The amount that is held after that.

        Raises:
            PoolExhaustedError: The pool has no room for it.
        """
        if size > self.size:
            self._pool.grow(self, size - self.size)
        elif size < self.size:
            self._pool.shrink(self, self.size - size)

    def release(self) -> None:
        """Returns the whole amount."""
        if self.size:
            self._pool.shrink(self, self.size)

    def renew(self) -> None:
        """Makes it the newest holding, as after progress."""
        self._pool.renew(self)


class Pool(ABC):
    """Limit of the sum of all holdings of one kind.

    Attributes:
        used: Sum of all holdings.
        evicted: Number of holdings that ended to make room.
        refused: Number of times that there was no room.
    """

    def __init__(self, max_all: int) -> None:
        """Creates an unused pool.

        Args:
            max_all: Largest sum of all holdings.
        """
        self.used = 0
        self.evicted = 0
        self.refused = 0
        self.max_all = max_all
        # The order is that of the holdings' beginning, or last renewal.
        self._holdings: dict[Holding, None] = {}

    def grow(self, holding: Holding, size: int) -> None:
        """Enlarges a holding; ends others if the sum passes the limit.

        Args:
            holding: The holding; it may itself be ended.
            size: Amount to take.

        Raises:
            PoolExhaustedError: There is no room and no holding can end.
        """
        if not size:
            return
        self._holdings.setdefault(holding)
        holding.size += size
        self.used += size
        while self.used > self.max_all:
            victim = self._choose_victim(holding)
            if victim is None:
                self.refused += 1
                self.shrink(holding, size)
                raise PoolExhaustedError(f'{self.max_all} are in use')
            self._evict(victim)

    def shrink(self, holding: Holding, size: int) -> None:
        """Returns a part of a holding.

        Args:
            holding: The holding.
            size: Amount to return.
        """
        holding.size -= size
        self.used -= size
        assert holding.size >= 0, holding.size
        if not holding.size:
            self._holdings.pop(holding, None)

    def renew(self, holding: Holding) -> None:
        """Makes a holding the newest one.

        Args:
            holding: The holding.
        """
        if holding in self._holdings:
            self._holdings.pop(holding)
            self._holdings[holding] = None

    def evict_one(self) -> None:
        """Ends a holding, if there is one that may end."""
        victim = self._choose_victim(None)
        if victim is not None:
            self._evict(victim)

    def _evict(self, victim: Holding) -> None:
        self.evicted += 1
        self.shrink(victim, victim.size)
        victim.on_evict()

    @abstractmethod
    def _choose_victim(self, asker: Holding | None) -> Holding | None:
        """Returns the holding that ends to make room for another.

        Args:
            asker: The holding that has grown; None if none has.
        """


class LargestFirstPool(Pool):
    """Ends the largest holding, also if it is the one that grows.

    Examples:
        >>> ended = []
        >>> pool = LargestFirstPool(100)
        >>> small = Holding(pool, lambda: ended.append('small'))
        >>> large = Holding(pool, lambda: ended.append('large'))
        >>> large.grow(80)
        >>> small.grow(30)
        >>> ended, pool.used
        (['large'], 30)
    """

    def _choose_victim(self, asker: Holding | None) -> Holding | None:
        """Returns the largest holding."""
        return max(self._holdings, key=_size, default=None)


class OldestFirstPool(Pool):
    """Ends the oldest holding, but not the one that grows.

    Examples:
        >>> from functools import partial
        >>> ended = []
        >>> pool = OldestFirstPool(2)
        >>> for name in ('first', 'second', 'third'):
        ...     Holding(pool, partial(ended.append, name)).grow(1)
        >>> ended, pool.used
        (['first'], 2)
    """

    def _choose_victim(self, asker: Holding | None) -> Holding | None:
        """Returns the oldest holding that may end."""
        for holding in self._holdings:
            if holding.evictable and holding is not asker:
                return holding
        return None


def _size(holding: Holding) -> int:
    return holding.size
