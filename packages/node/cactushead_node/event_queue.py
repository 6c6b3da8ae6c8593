"""Queue of events for the reducer."""

import trio

from .ports import EventFactory


class EventQueue:
    """Queues events from all Trio tasks for the reducer loop."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._events: list[EventFactory] = []
        self._reader_parking_lot = trio.lowlevel.ParkingLot()

    def put(self, make_event: EventFactory) -> None:
        """Adds an event and wakes the reader, without blocking.

        Args:
            make_event: Creates the event when the reducer processes it.
        """
        self._events.append(make_event)
        self._reader_parking_lot.unpark()

    async def get_all(self) -> list[EventFactory]:
        """Waits until the queue is not empty, then removes and returns all.

        Explanation:
            If events are already queued, the other Trio tasks run once
            before this method returns, so that their events are part of the
            same batch.

        Returns:
            The event factories, in the order in which they were added.
        """
        if self._events:
            await trio.lowlevel.checkpoint()
        else:
            await self._reader_parking_lot.park()
        events = self._events
        self._events = []
        return events
