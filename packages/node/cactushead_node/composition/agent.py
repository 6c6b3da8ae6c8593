"""Composition of an agent."""

import logging
import time

import trio
from cactushead_core.agents.node import AgentNode
from cactushead_core.config import AgentConfig
from cactushead_core.effects import StartRun, StopRun
from cactushead_core.events import DrainRequested, PeerRole

from ..event_queue import EventQueue
from ..observability import Timeline, TotalsRecorder
from ..observability.timeline import AGENT_JOB_EVENTS
from ..peers import Hello, PeerLinks
from ..runtime import AGENT_TICK_S, Runtime
from ..settings import AgentSettings
from ..upstreams import UpstreamClient, UpstreamTarget
from .observability_wiring import ObservabilityWiring
from .peering import FLUSH_TIMEOUT_S, dial_voters, make_incarnation

_log = logging.getLogger('cactushead.agent')


class AgentProcess:
    """An agent with its links to voters and its upstream client."""

    def __init__(self, settings: AgentSettings) -> None:
        """Creates and connects the components of the agent.

        Args:
            settings: Validated settings.
        """
        now = time.monotonic
        config = _make_config(settings)
        event_queue = EventQueue()
        hello = Hello(
            config.name,
            PeerRole.AGENT,
            config.incarnation,
            config.cell,
        )
        self._settings = settings
        timeline = Timeline(config.name, job_events=AGENT_JOB_EVENTS)
        wiring = ObservabilityWiring('agent', timeline, TotalsRecorder())
        self._links = PeerLinks(hello, event_queue.put, wiring.interceptor)
        wiring.connect(self._links)
        self._upstream = UpstreamClient(
            _make_target(settings), event_queue.put, now
        )
        self._runtime = Runtime(
            AgentNode(config, now()),
            self._links,
            tick_s=AGENT_TICK_S,
            event_queue=event_queue,
            effect_handlers={
                StartRun: self._upstream.start,
                StopRun: self._upstream.stop,
            },
            observer=wiring.observer,
            now=now,
        )

    async def run(
        self,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs until `stop` is set and the agent has drained.

        Args:
            stop: Set when the agent must drain.
            task_status: Notified when the agent is running.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._upstream.run)
            nursery.start_soon(self._runtime.run)
            dial_voters(nursery, self._links, self._settings.voters)
            _log.info('agent: %s runs', self._settings.name)
            task_status.started()
            await stop.wait()
            _log.info('agent: drain')
            self._runtime.deliver(DrainRequested)
            await self._runtime.drained.wait()
            await self._links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        _log.info('agent: %s has drained', self._settings.name)


def _make_config(settings: AgentSettings) -> AgentConfig:
    return AgentConfig(
        name=settings.name,
        incarnation=make_incarnation(),
        cell=settings.cell,
        voters=tuple(voter.name for voter in settings.voters),
        timing=settings.timing,
        bounds=settings.bounds,
    )


def _make_target(settings: AgentSettings) -> UpstreamTarget:
    return UpstreamTarget(
        host=settings.upstream.host,
        port=settings.upstream.port,
        run_path=settings.upstream.run_path,
        health_path=settings.upstream.health_path,
        spec=settings.upstream_spec,
    )
