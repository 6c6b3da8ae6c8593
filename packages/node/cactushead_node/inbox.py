"""Queue of events that wait for the reducer."""

import math

import trio

from .ports import Clock, MakeTimedEvent


class Inbox:
    """Collects events from all tasks for the one loop that reduces them."""

    def __init__(self, now: Clock) -> None:
        """Starts empty.

        Args:
            now: Monotonic clock, in seconds.
        """
        self._now = now
        self._waiting: list[MakeTimedEvent] = []
        self._reader = trio.lowlevel.ParkingLot()

    def put(self, make_event: MakeTimedEvent) -> None:
        """Adds an event and wakes the reader; never waits.

        Args:
            make_event: Makes the event when it is taken.
        """
        self._waiting.append(make_event)
        self._reader.unpark()

    async def take(self, until_s: float = math.inf) -> list[MakeTimedEvent]:
        """Waits for events and returns all that wait.

        Args:
            until_s: Monotonic time at which an empty list is returned.

        Returns:
            The events' makers, in the order of arrival.
        """
        await trio.lowlevel.checkpoint()
        left_s = until_s - self._now()
        if not self._waiting and left_s > 0:
            with trio.move_on_after(left_s):
                await self._reader.park()
        taken = self._waiting
        self._waiting = []
        return taken
