"""Queue of events that wait for the reducer."""

import trio

from .ports import EventFactory


class EventQueue:
    """Collects events from all tasks for the one loop that reduces them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._waiting: list[EventFactory] = []
        self._reader = trio.lowlevel.ParkingLot()

    def put(self, make_event: EventFactory) -> None:
        """Adds an event and wakes the reader; never waits.

        Args:
            make_event: Makes the event when it is taken.
        """
        self._waiting.append(make_event)
        self._reader.unpark()

    async def get_all(self) -> list[EventFactory]:
        """Waits for events and returns all that wait.

        Explanation:
            Under load the other tasks run once between two calls, so that
            their events gather.

        Returns:
            The events' makers, in the order of arrival.
        """
        if self._waiting:
            await trio.lowlevel.checkpoint()
        else:
            await self._reader.park()
        taken = self._waiting
        self._waiting = []
        return taken
