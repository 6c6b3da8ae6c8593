"""Event loop that passes events to a reducer and performs its effects."""

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
from cactushead_core.events import CallerDisconnected, Event, Tick, TurnEnded
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
    # An agent has no storage and does not import its module.
    from .storage import Storage

ENTRY_TICK_S = 0.05
AGENT_TICK_S = 0.1
# Interval of ticks while no timer is due soon; a quarter of the shortest timer
# of a process that waits, its idle ping.
QUIET_TICK_S = 0.25
SYNC_METRIC = 'sync_s'
# Reducers create few reference cycles. With the default thresholds the many
# long-lived objects of a leader would cause frequent garbage collections, each
# of which blocks the event loop.
VOTER_GC_THRESHOLDS = (50_000, 20, 50)

EffectHandlers = dict[type[fx.Effect], Callable[[Any], None]]

_log = logging.getLogger('cactushead.runtime')


class _PendingRequest:
    """A request that waits for the reducer's response."""

    __slots__ = ('answered', 'response')

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.response: fx.Response | None = None


class Runtime(RequestPort):
    """Runs one reducer in one event loop.

    Explanation:
        A turn passes all queued events to the reducer in order, followed by
        `TurnEnded`, and performs the effects in order. Messages to the same
        peer are sent at the end of the turn as one frame. Writes to disk are
        queued for a single writer task, which performs all queued writes as
        one batch, so that many records share one sync.

    Attributes:
        drained: Set once the reducer has drained and no work is in flight.
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
        """Connects the reducer with the components that perform its effects.

        Args:
            node: The reducer.
            transport: Sends messages to peers.
            tick_s: Interval between `Tick` events.
            event_queue: Queue to which other components deliver events; by
                default a new one.
            storage: Durable storage of a voter.
            observer: Records the time line and the metrics.
            effect_handlers: Handlers of further effects, by effect type.
            now: Monotonic clock, in seconds.
        """
        self.drained = trio.Event()
        self._node = node
        self._transport = transport
        self._tick_s = tick_s
        self._event_queue = event_queue or EventQueue()
        self._storage = storage
        self._now = now
        self._request_ids = itertools.count(1)
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._outgoing: dict[str, list[Message]] = defaultdict(list)
        self._pending_writes: list[fx.Effect] = []
        self._writer_parking_lot = trio.lowlevel.ParkingLot()
        self._observer = observer or NullObserver()
        self._effect_handlers = self._make_effect_handlers()
        self._effect_handlers.update(effect_handlers or {})

    def deliver(self, make_event: EventFactory) -> None:
        """Queues an event for the next turn.

        Args:
            make_event: Creates the event when the reducer processes it.
        """
        self._event_queue.put(make_event)

    async def request(self, make_event: RequestEventFactory) -> fx.Response:
        """Delivers a request to the reducer and waits for its response.

        Args:
            make_event: Creates the event from the time of the monotonic
                clock, in seconds, and the id of the request.

        Returns:
            The response of the reducer.
        """
        request_id = next(self._request_ids)
        pending = _PendingRequest()
        self._pending_requests[request_id] = pending
        self.deliver(lambda now_s: make_event(now_s, request_id))
        try:
            await pending.answered.wait()
        finally:
            if self._pending_requests.pop(request_id, None) is not None:
                self.deliver(
                    lambda now_s: CallerDisconnected(now_s, request_id)
                )
        assert pending.response is not None
        return pending.response

    async def run(self) -> None:
        """Runs turns until it is cancelled."""
        gc.collect()
        gc.freeze()
        async with trio.open_nursery() as nursery:
            if self._storage is not None:
                gc.set_threshold(*VOTER_GC_THRESHOLDS)
                nursery.start_soon(self._run_writer, self._storage)
            nursery.start_soon(self._run_ticker)
            while True:
                self._run_turn(await self._event_queue.get_all())

    async def _run_ticker(self) -> None:
        while True:
            self.deliver(Tick)
            quiet = self._node.quiet
            await trio.sleep(QUIET_TICK_S if quiet else self._tick_s)

    def _run_turn(self, event_factories: list[EventFactory]) -> None:
        event_factories.append(TurnEnded)
        for make_event in event_factories:
            self._perform_effects(self._node.reduce(make_event(self._now())))
        outgoing = self._outgoing
        self._outgoing = defaultdict(list)
        for peer, messages in outgoing.items():
            self._transport.send(peer, messages)

    def _perform_effects(self, effects: Iterable[fx.Effect]) -> None:
        for effect in effects:
            self._effect_handlers[type(effect)](effect)

    def _make_effect_handlers(self) -> EffectHandlers:
        effect_handlers: EffectHandlers = {
            fx.Send: self._send,
            fx.Respond: self._respond,
            fx.Record: self._observer.record,
            fx.Measure: self._observer.measure,
            fx.Count: self._observer.count,
            fx.Drained: self._set_drained,
        }
        if self._storage is not None:
            for write in (fx.AppendLog, fx.SaveVote, fx.SaveSnapshot):
                effect_handlers[write] = self._queue_write
        return effect_handlers

    def _send(self, effect: fx.Send) -> None:
        self._outgoing[effect.peer].append(effect.message)

    def _respond(self, effect: fx.Respond) -> None:
        pending = self._pending_requests.pop(effect.request_id, None)
        if pending is not None:
            pending.response = effect.response
            pending.answered.set()

    def _set_drained(self, effect: fx.Drained) -> None:
        _log.info('runtime: drained')
        self.drained.set()

    def _queue_write(self, effect: fx.Effect) -> None:
        self._pending_writes.append(effect)
        self._writer_parking_lot.unpark()

    async def _run_writer(self, storage: 'Storage') -> None:
        while True:
            if not self._pending_writes:
                await self._writer_parking_lot.park()
            writes = self._pending_writes
            self._pending_writes = []
            started_s = self._now()
            for event in await storage.perform(writes, self._now):
                self.deliver(_with_current_time(event))
            duration_s = self._now() - started_s
            self._observer.measure(fx.Measure(SYNC_METRIC, duration_s))


def _with_current_time(event: Event) -> EventFactory:
    return lambda now_s: replace(event, now_s=now_s)
