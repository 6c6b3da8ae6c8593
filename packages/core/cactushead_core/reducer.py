"""The one reducer that each process runs over all its events."""

from abc import ABC, abstractmethod

from .effects import Effect
from .events import Event


class Node(ABC):
    """State of one process and the reducer over its events.

    Explanation:
        The shell calls `reduce` for each event in the order of arrival, then
        once with `TurnEnded`, and performs the returned effects in order.
        The reducer does no I/O and reads no clock.
    """

    def reduce(self, event: Event) -> list[Effect]:
        """Takes one event into the state.

        Args:
            event: The event.

        Returns:
            Effects to perform, in order.
        """
        effects: list[Effect] = []
        self._reduce(event, effects)
        return effects

    @abstractmethod
    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        """Takes one event into the state and appends its effects."""
