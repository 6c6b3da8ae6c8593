"""The loop that feeds events to a reducer and performs its effects."""

import gc
import itertools
import logging
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import trio
from cactushead_core import effects as fx
from cactushead_core.events import CallerGone, Event, Tick, TurnEnded
from cactushead_core.messages import Message
from cactushead_core.reducer import Node

from .event_queue import EventQueue
from .ports import (
    Clock,
    EventFactory,
    MessageTransport,
    NullObserver,
    Observer,
)
from .request_port import RequestEventFactory, RequestPort

if TYPE_CHECKING:
    # An agent has no disk and doesn't load the storage.
    from .storage import Storage

ENTRY_TICK_S = 0.05
AGENT_TICK_S = 0.1
SYNC_METRIC = 'sync_s'
# Reducers make few cycles; a leader's many long-lived values would make the
# default thresholds stop the loop often.
VOTER_GC_THRESHOLDS = (50_000, 20, 50)

EffectHandlers = dict[type[fx.Effect], Callable[[Any], None]]

_log = logging.getLogger('cactushead.runtime')


class _Waiter:
    """A request that waits for its response."""

    __slots__ = ('answered', 'response')

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.response: fx.Response | None = None


class Runtime(RequestPort):
    """Runs one reducer on one loop.

    Explanation:
        A turn takes all waiting events, reduces them in order, then
        `TurnEnded`, and performs the effects in order. Messages to the same
        peer leave at the end of the turn as one frame. Writes to disk go to
        a single task that performs all waiting ones together, so that many
        records share one sync.

    Attributes:
        drained: Set once the reducer has nothing in flight any more.
    """

    def __init__(
        self,
        node: Node,
        transport: MessageTransport,
        *,
        tick_s: float,
        event_queue: EventQueue | None = None,
        storage: 'Storage | None' = None,
        observer: Observer | None = None,
        effect_handlers: EffectHandlers | None = None,
        now: Clock = time.monotonic,
    ) -> None:
        """Joins the reducer with the parts that perform its effects.

        Args:
            node: The reducer.
            transport: Sends messages to peers.
            tick_s: Time between ticks.
            event_queue: Queue that the parts deliver events to.
            storage: Files of a voter.
            observer: Keeps time line and metrics.
            effect_handlers: Perform the effects of further parts.
            now: Monotonic clock, in seconds.
        """
        self.drained = trio.Event()
        self._node = node
        self._transport = transport
        self._tick_s = tick_s
        self._inbox = event_queue or EventQueue()
        self._storage = storage
        self._now = now
        self._request_ids = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._outgoing: dict[str, list[Message]] = defaultdict(list)
        self._writes: list[fx.Effect] = []
        self._writes_waiting = trio.lowlevel.ParkingLot()
        self._observer = observer or NullObserver()
        self._performers = self._make_performers()
        self._performers.update(effect_handlers or {})

    def deliver(self, make_event: EventFactory) -> None:
        """Queues an event for the next turn.

        Args:
            make_event: Makes the event from the clock when it is taken.
        """
        self._inbox.put(make_event)

    async def request(self, make_event: RequestEventFactory) -> fx.Response:
        """Feeds one request's event and returns the reducer's response.

        Args:
            make_event: Makes the event from the monotonic clock in seconds
                and the request's number.

        Returns:
            The response.
        """
        request_id = next(self._request_ids)
        waiter = _Waiter()
        self._waiters[request_id] = waiter
        self.deliver(lambda now_s: make_event(now_s, request_id))
        try:
            await waiter.answered.wait()
        finally:
            if self._waiters.pop(request_id, None) is not None:
                self.deliver(lambda now_s: CallerGone(now_s, request_id))
        assert waiter.response is not None
        return waiter.response

    async def run(self) -> None:
        """Runs turns until it is cancelled."""
        gc.collect()
        gc.freeze()
        async with trio.open_nursery() as nursery:
            if self._storage is not None:
                gc.set_threshold(*VOTER_GC_THRESHOLDS)
                nursery.start_soon(self._write, self._storage)
            nursery.start_soon(self._tick)
            while True:
                self._run_turn(await self._inbox.get_all())

    async def _tick(self) -> None:
        while True:
            self.deliver(Tick)
            await trio.sleep(self._tick_s)

    def _run_turn(self, waiting: list[EventFactory]) -> None:
        waiting.append(TurnEnded)
        for make_event in waiting:
            self._perform(self._node.reduce(make_event(self._now())))
        outgoing = self._outgoing
        self._outgoing = defaultdict(list)
        for peer, messages in outgoing.items():
            self._transport.send(peer, messages)

    def _perform(self, effects: Iterable[fx.Effect]) -> None:
        for effect in effects:
            self._performers[type(effect)](effect)

    def _make_performers(self) -> EffectHandlers:
        effect_handlers: EffectHandlers = {
            fx.Send: self._send,
            fx.Respond: self._respond,
            fx.Record: self._observer.record,
            fx.Measure: self._observer.measure,
            fx.Count: self._observer.count,
            fx.Drained: self._end,
        }
        if self._storage is not None:
            for write in (fx.AppendLog, fx.SaveVote, fx.SaveSnapshot):
                effect_handlers[write] = self._queue_write
        return effect_handlers

    def _send(self, effect: fx.Send) -> None:
        self._outgoing[effect.peer].append(effect.message)

    def _respond(self, effect: fx.Respond) -> None:
        waiter = self._waiters.pop(effect.request_id, None)
        if waiter is not None:
            waiter.response = effect.response
            waiter.answered.set()

    def _end(self, effect: fx.Drained) -> None:
        _log.info('runtime: drained')
        self.drained.set()

    def _queue_write(self, effect: fx.Effect) -> None:
        self._writes.append(effect)
        self._writes_waiting.unpark()

    async def _write(self, storage: 'Storage') -> None:
        while True:
            if not self._writes:
                await self._writes_waiting.park()
            writes = self._writes
            self._writes = []
            began_s = self._now()
            for event in await storage.perform(writes, self._now):
                self.deliver(_stamp(event))
            duration_s = self._now() - began_s
            self._observer.measure(fx.Measure(SYNC_METRIC, duration_s))


def _stamp(event: Event) -> EventFactory:
    return lambda now_s: replace(event, now_s=now_s)
