"""Interfaces that a platform implements for the processes of a fleet."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import trio
from cactushead_core.events import Event

from ..ports import DeliverEvent

if TYPE_CHECKING:
    # Importing this only for type checks lets entries start faster.
    from cactushead_core.leasing import (
        RenewLeases,
        StartLeased,
        StopLeased,
        UpstreamCall,
    )

_CallT = TypeVar('_CallT', bound='UpstreamCall')

_log = logging.getLogger('cactushead.upstream')


class LeasedUpstream(ABC):
    """Client of an upstream that runs tasks under leases.

    Explanation:
        No method blocks; each call results in exactly one event.
    """

    def __init__(self) -> None:
        """Creates a client that can make calls once `run` has started."""
        self._nursery: trio.Nursery | None = None
        self._deliver: DeliverEvent | None = None

    @abstractmethod
    def start(self, effect: 'StartLeased') -> None:
        """Starts a run; results in `StartCallCompleted`."""

    @abstractmethod
    def stop(self, effect: 'StopLeased') -> None:
        """Stops a run; results in `StopCallCompleted`."""

    @abstractmethod
    def renew(self, effect: 'RenewLeases') -> None:
        """Renews all leases.

        Explanation:
            Results in `LeasesRenewed` or `RenewalFailed`.
        """

    async def run(
        self,
        deliver: DeliverEvent,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Performs calls until it is cancelled.

        Args:
            deliver: Receives the events.
            task_status: Is signalled when calls can be made.
        """
        self._deliver = deliver
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._start_background_tasks(nursery)
            task_status.started()
            await trio.sleep_forever()

    async def _start_background_tasks(self, nursery: trio.Nursery) -> None:
        """Starts background tasks of the client; there are none by default."""
        await trio.lowlevel.checkpoint()

    def _spawn(
        self,
        call: Callable[[_CallT], Awaitable[None]],
        effect: _CallT,
    ) -> None:
        """Starts a call in the background, once the client runs."""
        if self._nursery is not None:
            self._nursery.start_soon(self._perform, call, effect)

    async def _perform(
        self,
        call: Callable[[_CallT], Awaitable[None]],
        effect: _CallT,
    ) -> None:
        """Makes a call; an unexpected error ends only this call."""
        try:
            await call(effect)
        except Exception as error:
            _log.exception(
                'upstream: %s failed unexpectedly', type(effect).__name__
            )
            self._deliver_event(effect.failed(repr(error)))

    def _deliver_event(self, event: Event) -> None:
        """Delivers an event, stamped when the reducer processes it."""
        assert self._deliver is not None
        self._deliver(partial(_set_event_time, event))


def _set_event_time(event: Event, now_s: float) -> Event:
    return replace(event, now_s=now_s)
