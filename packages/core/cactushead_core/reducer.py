"""Base class of the reducer that handles all events of a process."""

from abc import ABC, abstractmethod

from .effects import Effect
from .events import Event


class Node(ABC):
    """The state of one process and the reducer of its events.

    Explanation:
        The I/O shell calls `reduce` for each event of a batch in the order
        of arrival and then once with `TurnEnded`, and performs the returned
        effects in order. The reducer does no I/O and reads no clock, so
        that its results depend on the events alone.
    """

    def reduce(self, event: Event) -> list[Effect]:
        """Updates the state for one event.

        Args:
            event: The event.

        Returns:
            Effects to perform, in order.
        """
        effects: list[Effect] = []
        self._reduce(event, effects)
        return effects

    @property
    def quiet(self) -> bool:
        """Whether no timer is due soon, so that ticks may be rare."""
        return False

    @abstractmethod
    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        """Updates the state for one event and appends its effects."""
