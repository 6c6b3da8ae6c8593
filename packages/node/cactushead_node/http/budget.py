"""Bound on the memory of request bodies that are being read."""

from collections.abc import Iterator
from contextlib import contextmanager

from .errors import BodyBudgetError

BYTES_PER_MB = 1024 * 1024
MAX_BODY_BYTES = 4 * BYTES_PER_MB
# Bodies of the largest size that may be read at a time.
MAX_LARGE_BODIES = 8
MAX_TOTAL_BODY_BYTES = MAX_LARGE_BODIES * MAX_BODY_BYTES


class Reservation:
    """What one body takes of the budget."""

    __slots__ = ('_budget', '_size_bytes')

    def __init__(self, budget: 'BodyBudget') -> None:
        """Starts with nothing.

        Args:
            budget: The budget.
        """
        self._budget = budget
        self._size_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Takes more.

        Args:
            size_bytes: How much more.

        Raises:
            BodyBudgetError: The budget is used up.
        """
        self._budget.take(size_bytes)
        self._size_bytes += size_bytes

    def end(self) -> None:
        """Gives everything back."""
        self._budget.give_back(self._size_bytes)
        self._size_bytes = 0


class BodyBudget:
    """Memory for the bodies that are being read at one time.

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
        used_bytes: Size of the bodies that are being read.
    """

    def __init__(self, size_bytes: int = MAX_TOTAL_BODY_BYTES) -> None:
        """Starts unused.

        Args:
            size_bytes: Largest size of all bodies together.
        """
        self.used_bytes = 0
        self._size_bytes = size_bytes

    @contextmanager
    def reserve(self) -> Iterator[Reservation]:
        """Yields a reservation, which ends with the context."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.end()

    def take(self, size_bytes: int) -> None:
        """Takes memory.

        Args:
            size_bytes: How much.

        Raises:
            BodyBudgetError: The budget is used up.
        """
        if self.used_bytes + size_bytes > self._size_bytes:
            raise BodyBudgetError(f'bodies take over {self._size_bytes} bytes')
        self.used_bytes += size_bytes

    def give_back(self, size_bytes: int) -> None:
        """Gives memory back.

        Args:
            size_bytes: How much.
        """
        self.used_bytes -= size_bytes
        assert self.used_bytes >= 0, self.used_bytes
