"""Memory limit for request bodies that are received or handled."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..holdings import Holding, OldestFirstPool, PoolExhaustedError
from ..settings.model import ConnectionLimits
from .errors import BodyBudgetError

DEFAULT_LIMITS = ConnectionLimits()
MAX_BODY_BYTES = DEFAULT_LIMITS.max_body_bytes


class Reservation:
    """Memory that one request body has acquired from the budget."""

    __slots__ = ('_holding',)

    def __init__(self, holding: Holding) -> None:
        """Creates a reservation.

        Args:
            holding: What the body holds of the budget's memory.
        """
        self._holding = holding

    def grow(self, size_bytes: int) -> None:
        """Acquires further memory.

        Args:
            size_bytes: Size of the next chunk of the body.

        Raises:
            BodyBudgetError: The budget is exhausted.
        """
        try:
            self._holding.grow(size_bytes)
        except PoolExhaustedError as error:
            raise BodyBudgetError(
                f'no memory for further bodies: {error}'
            ) from error

    def keep(self) -> None:
        """Keeps the memory until its release, as the body is complete."""
        self._holding.evictable = False

    def release(self) -> None:
        """Returns all acquired memory to the budget."""
        self._holding.release()


class BodyBudget:
    """Limits the memory of all request bodies.

    Explanation:
        When the memory is used up, the body that has been incomplete for the
        longest time is given up, so that callers that don't complete theirs
        don't exclude others.

    Examples:
        >>> budget = BodyBudget(100)
        >>> with budget.reserve() as body:
        ...     body.grow(90)
        ...     body.grow(20)
        Traceback (most recent call last):
          ...
        cactushead_node.http.errors.BodyBudgetError: no memory for further \
bodies: 100 are in use
        >>> budget.used_bytes
        0

    Attributes:
        max_body_bytes: Largest size of one body.
    """

    def __init__(
        self,
        max_bytes: int = DEFAULT_LIMITS.total_body_bytes,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Creates an unused budget.

        Args:
            max_bytes: Largest total size of all bodies.
            max_body_bytes: Largest size of one body.
        """
        self.max_body_bytes = max_body_bytes
        self._pool = OldestFirstPool(max_bytes)

    @property
    def used_bytes(self) -> int:
        """Total size of the bodies that are received or handled."""
        return self._pool.used

    @property
    def given_up(self) -> int:
        """Number of incomplete bodies that were given up for others."""
        return self._pool.evicted

    @property
    def refused(self) -> int:
        """Number of bodies for which there was no memory."""
        return self._pool.refused

    def open_reservation(
        self, on_evict: Callable[[], None] | None = None
    ) -> Reservation:
        """Returns an empty reservation, which has to be released.

        Args:
            on_evict: Gives up the body; without it the body is kept.
        """
        if on_evict is None:
            return Reservation(Holding(self._pool, _ignore, evictable=False))
        return Reservation(Holding(self._pool, on_evict))

    @contextmanager
    def reserve(self) -> Iterator[Reservation]:
        """Yields a reservation, which is released at the end of the context."""
        reservation = self.open_reservation()
        try:
            yield reservation
        finally:
            reservation.release()


def _ignore() -> None:
    """Is never called: the body is not evictable."""
