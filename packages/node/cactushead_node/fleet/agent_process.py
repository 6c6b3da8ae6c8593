"""Agent process of a fleet.

Explanation:
    A restarted agent has to renew the leases of its upstream before they
    expire. To start quickly, this module imports neither the validation
    library nor modules that only entries need.
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
from .clock import boot_time_s
from .observer import LoggingObserver
from .ports import LeasedUpstream
from .process_links import TICK_S, ProcessLinks
from .settings import FleetAgentSettings

NANOSECONDS_PER_MS = 1_000_000

_log = logging.getLogger('cactushead.fleet')


class HeartbeatServer(ABC):
    """Server that receives the heartbeats of an agent's upstream."""

    @abstractmethod
    async def serve(
        self,
        deliver: DeliverEvent,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves heartbeats until it is cancelled.

        Args:
            deliver: Receives the events.
            task_status: Is signalled when the server listens.
        """


class FleetAgentProcess:
    """Runs the agent of one upstream with its links and servers."""

    def __init__(
        self,
        settings: FleetAgentSettings,
        upstream: LeasedUpstream,
        heartbeats: HeartbeatServer,
    ) -> None:
        """Creates the reducer, the links and the runtime of the agent.

        Args:
            settings: Validated settings.
            upstream: Client of the upstream.
            heartbeats: Server for the upstream's heartbeats.
        """
        incarnation = make_incarnation()
        self._settings = settings
        self._upstream = upstream
        self._heartbeats = heartbeats
        self._process_links = ProcessLinks(
            settings.own, incarnation, settings.connections.max_handshakes
        )
        leasing = LeasingSettings(
            settings.own.name,
            lease_s=settings.lease_s,
            token=time.time_ns() // NANOSECONDS_PER_MS,
            claims=settings.claims,
            resend_s=settings.resend_s,
            stop_s=settings.stop_s,
        )
        _log_owner_silence(leasing)
        node = LeasingAgent(leasing, Discovery(settings.own, settings.seeds))
        self._runtime = Runtime(
            node,
            self._process_links.links,
            tick_s=TICK_S,
            event_queue=self._process_links.event_queue,
            observer=LoggingObserver('agent'),
            effect_handlers={
                Dial: self._process_links.dial,
                DropPeer: self._process_links.drop,
                StartLeased: upstream.start,
                StopLeased: upstream.stop,
                RenewLeases: upstream.renew,
            },
            now=boot_time_s,
        )

    async def run(self, stop: trio.Event) -> None:
        """Runs until the agent is stopped and has drained.

        Explanation:
            After a stop, runs may continue for the drain period of the
            settings.

        Args:
            stop: Is set when the agent has to drain.
        """
        deliver = self._runtime.deliver
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runtime.run)
            await nursery.start(self._upstream.run, deliver)
            await nursery.start(self._heartbeats.serve, deliver)
            await nursery.start(self._process_links.run)
            _log.info('fleet: agent %s serves', self._settings.own.name)
            await stop.wait()
            deliver(DrainRequested)
            with trio.move_on_after(self._settings.drain_s):
                await self._runtime.drained.wait()
            await self._process_links.links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        _log.info('fleet: agent %s has drained', self._settings.own.name)


def _log_owner_silence(settings: LeasingSettings) -> None:
    _log.info(
        'fleet: runs of a silent entry are stopped after %.2f s',
        settings.owner_silence_s,
    )
    if settings.overlap_s > 0:
        _log.warning(
            'fleet: callers resend after %.2f s, tasks may overlap for %.2f s',
            settings.resend_s,
            settings.overlap_s,
        )
