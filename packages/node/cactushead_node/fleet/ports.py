"""What the processes of a fleet need from the platform that they run on."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import trio
from cactushead_core.events import Event

from ..ports import DeliverEvent

if TYPE_CHECKING:
    # Entries start faster without the agents' part.
    from cactushead_core.leasing import RenewLeases, StartLeased, StopLeased

_Call = TypeVar('_Call')


class LeasedUpstream(ABC):
    """Calls to an upstream that runs tasks under leases.

    Explanation:
        No method waits; each call ends with exactly one event.
    """

    def __init__(self) -> None:
        """Makes no call yet."""
        self._nursery: trio.Nursery | None = None
        self._deliver: DeliverEvent | None = None

    @abstractmethod
    def start(self, effect: 'StartLeased') -> None:
        """Starts a run; gives `StartAnswered`."""

    @abstractmethod
    def stop(self, effect: 'StopLeased') -> None:
        """Stops a run; gives `StopAnswered`."""

    @abstractmethod
    def renew(self, effect: 'RenewLeases') -> None:
        """Renews all leases; gives `LeasesRenewed` or `RenewalFailed`."""

    async def run(
        self,
        deliver: DeliverEvent,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Makes the calls until it is cancelled.

        Args:
            deliver: Takes the events.
            task_status: Is told when calls can be made.
        """
        self._deliver = deliver
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._begin(nursery)
            task_status.started()
            await trio.sleep_forever()

    async def _begin(self, nursery: trio.Nursery) -> None:
        """Starts what runs beside the calls; by default nothing does."""
        await trio.lowlevel.checkpoint()

    def _spawn(
        self,
        call: Callable[[_Call], Awaitable[None]],
        effect: _Call,
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(call, effect)

    def _tell(self, event: Event) -> None:
        """Delivers an event; its time is set when the reducer takes it."""
        assert self._deliver is not None
        self._deliver(partial(_stamp, event))


def _stamp(event: Event, now_s: float) -> Event:
    return replace(event, now_s=now_s)
