"""Base class of the reducer that handles all events of a process."""

from abc import ABC, abstractmethod

from .effects import Effect
from .events import Event, ProcessResumed

# Ticks are at most 0.25 s apart; a longer gap between two events means that the
# process was paused.
PROCESS_PAUSE_S = 0.4


class Node(ABC):
    """The state of one process and the reducer of its events.

    Explanation:
        The I/O shell calls `reduce` for each event of a batch in the order
        of arrival and then once with `TurnEnded`, and performs the returned
        effects in order. The reducer does no I/O and reads no clock, so
        that its results depend on the events alone.

        Permissions lapse while a process is paused, and what its peers sent
        meanwhile is still unread. `reduce` therefore detects a pause before
        it handles the next event, whichever that is.
    """

    def __init__(self) -> None:
        """Starts before the first event."""
        self._newest_event_s: float | None = None

    def reduce(self, event: Event) -> list[Effect]:
        """Updates the state for one event.

        Args:
            event: The event.

        Returns:
            Effects to perform, in order.
        """
        effects: list[Effect] = []
        paused_s = self._newest_event_s
        self._newest_event_s = event.now_s
        if paused_s is not None and event.now_s - paused_s > PROCESS_PAUSE_S:
            self._reduce(ProcessResumed(event.now_s, paused_s), effects)
        self._reduce(event, effects)
        return effects

    @property
    def quiet(self) -> bool:
        """Whether no timer is due soon, so that ticks may be rare."""
        return False

    @abstractmethod
    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        """Updates the state for one event and appends its effects."""
