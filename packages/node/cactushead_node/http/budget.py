"""Memory limit for request bodies that are being received."""

from collections.abc import Iterator
from contextlib import contextmanager

from .errors import BodyBudgetError

BYTES_PER_MB = 1024 * 1024
MAX_BODY_BYTES = 4 * BYTES_PER_MB
# Number of bodies of the largest size that may be received concurrently.
MAX_LARGE_BODIES = 8
MAX_TOTAL_BODY_BYTES = MAX_LARGE_BODIES * MAX_BODY_BYTES


class Reservation:
    """Memory that one request body has acquired from the budget."""

    __slots__ = ('_budget', '_size_bytes')

    def __init__(self, budget: 'BodyBudget') -> None:
        """Creates an empty reservation.

        Args:
            budget: The budget from which the memory is acquired.
        """
        self._budget = budget
        self._size_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Acquires further memory.

        Args:
            size_bytes: Size of the next chunk of the body.

        Raises:
            BodyBudgetError: The budget is exhausted.
        """
        self._budget.acquire(size_bytes)
        self._size_bytes += size_bytes

    def release(self) -> None:
        """Returns all acquired memory to the budget."""
        self._budget.release(self._size_bytes)
        self._size_bytes = 0


class BodyBudget:
    """Limits the memory of all request bodies that are being received.

    Examples:
        >>> budget = BodyBudget(100)
        >>> with budget.reserve() as body:
        ...     body.grow(90)
        ...     body.grow(20)
        Traceback (most recent call last):
          ...
        cactushead_node.http.errors.BodyBudgetError: bodies take over 100 \
bytes
        >>> budget.used_bytes
        0

    Attributes:
        used_bytes: Total size of the bodies that are being received.
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BODY_BYTES) -> None:
        """Creates an unused budget.

        Args:
            max_bytes: Largest total size of all bodies.
        """
        self.used_bytes = 0
        self._max_bytes = max_bytes

    @contextmanager
    def reserve(self) -> Iterator[Reservation]:
        """Yields a reservation, which is released at the end of the context."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.release()

    def acquire(self, size_bytes: int) -> None:
        """Acquires memory.

        Args:
            size_bytes: Number of bytes to acquire.

        Raises:
            BodyBudgetError: The budget is exhausted.
        """
        if self.used_bytes + size_bytes > self._max_bytes:
            raise BodyBudgetError(f'bodies take over {self._max_bytes} bytes')
        self.used_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Releases memory.

        Args:
            size_bytes: Number of bytes to release.
        """
        self.used_bytes -= size_bytes
        assert self.used_bytes >= 0, self.used_bytes
