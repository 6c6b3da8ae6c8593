"""The process of a fleet's agent.

Explanation:
    An agent that restarts has to renew its upstream's leases before they are
    over, so this module imports little: no validation library, and nothing
    that only entries need.
"""

import logging
import time
from abc import ABC, abstractmethod

import trio
from cactushead_core.discovery import Dial, Discovery, DropPeer
from cactushead_core.events import DrainRequested
from cactushead_core.leasing import (
    LeasingAgent,
    RenewLeases,
    StartLeased,
    StopLeased,
)
from cactushead_core.leasing.settings import LeasingSettings

from ..composition.peering import FLUSH_TIMEOUT_S, make_incarnation
from ..ports import DeliverEvent
from ..runtime import Runtime
from .clock import boot_s
from .linked import TICK_S, LinkedProcess
from .observer import LoggingObserver
from .ports import LeasedUpstream
from .settings import FleetAgentSettings

NANOSECONDS_PER_MS = 1_000_000

_log = logging.getLogger('cactushead.fleet')


class HeartbeatServer(ABC):
    """The server that takes the heartbeats of an agent's upstream."""

    @abstractmethod
    async def serve(
        self,
        deliver: DeliverEvent,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until it is cancelled.

        Args:
            deliver: Takes the events.
            task_status: Is told when the server listens.
        """


class FleetAgentProcess:
    """An agent of a fleet."""

    def __init__(
        self,
        settings: FleetAgentSettings,
        upstream: LeasedUpstream,
        heartbeats: HeartbeatServer,
    ) -> None:
        """Wires the parts.

        Args:
            settings: Checked settings.
            upstream: Calls to the upstream.
            heartbeats: Server for the upstream's heartbeats.
        """
        incarnation = make_incarnation()
        self._settings = settings
        self._upstream = upstream
        self._heartbeats = heartbeats
        self._linked = LinkedProcess(settings.own, incarnation)
        node = LeasingAgent(
            LeasingSettings(
                settings.own.name,
                lease_s=settings.lease_s,
                token=time.time_ns() // NANOSECONDS_PER_MS,
            ),
            Discovery(settings.own, settings.seeds),
        )
        self._runtime = Runtime(
            node,
            self._linked.links,
            tick_s=TICK_S,
            event_queue=self._linked.event_queue,
            observer=LoggingObserver('agent'),
            effect_handlers={
                Dial: self._linked.dial,
                DropPeer: self._linked.drop,
                StartLeased: upstream.start,
                StopLeased: upstream.stop,
                RenewLeases: upstream.renew,
            },
            now=boot_s,
        )

    async def run(self, stop: trio.Event) -> None:
        """Runs until the agent is stopped and its runs have ended.

        Args:
            stop: Is set when the agent shall drain.
        """
        deliver = self._runtime.deliver
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runtime.run)
            await nursery.start(self._upstream.run, deliver)
            await nursery.start(self._heartbeats.serve, deliver)
            await nursery.start(self._linked.run)
            _log.info('fleet: agent %s serves', self._settings.own.name)
            await stop.wait()
            deliver(DrainRequested)
            with trio.move_on_after(self._settings.drain_s):
                await self._runtime.drained.wait()
            await self._linked.links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        _log.info('fleet: agent %s has drained', self._settings.own.name)
