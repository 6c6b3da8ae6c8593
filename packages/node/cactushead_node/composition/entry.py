"""Wires an entry."""

import logging
import time
import zlib
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import trio
from cactushead_core.config import EntryConfig
from cactushead_core.entry import EntryNode
from cactushead_core.events import DrainRequested, PeerRole
from cactushead_core.replication import StoredLog

from ..callers import RequestPort, make_app
from ..event_queue import EventQueue
from ..http import serve_callers
from ..observability import Timeline
from ..observability.metrics import Metrics
from ..observability.reports import Reports
from ..peers import Hello, PeerLinks
from ..peers.listener import listen
from ..runtime import ENTRY_TICK_S, Runtime
from ..settings import EntrySettings, VoterAddress
from ..status import EntryStatus, read_state
from ..storage import Storage, open_storage
from .observing import Observation
from .peering import FLUSH_TIMEOUT_S, dial_voters, make_incarnation

CALLERS_DRAIN_S = 3600.0
LAME_DUCK_S = 0.2

_log = logging.getLogger('cactushead.entry')


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Where a running entry listens.

    Attributes:
        callers: TCP port for callers and operators.
        peers: TCP port for the other processes; 0 when it is no voter.
    """

    callers: int
    peers: int


class EntryProcess:
    """An entry with its links, its disk and its callers.

    Attributes:
        drained: Set once all callers have their answers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        prepared: bool = True,
    ) -> None:
        """Opens the data folder and wires the parts.

        Args:
            settings: Checked settings.
            prepared: Whether the entry is ready without further steps.

        Raises:
            StorageError: The data folder can't be read.
        """
        now = time.monotonic
        self.drained = trio.Event()
        self._settings = settings
        self._storage = _open_storage(settings)
        config = _make_config(settings, self._storage)
        event_queue = EventQueue()
        hello = Hello(
            config.name,
            PeerRole.ENTRY,
            config.incarnation,
            config.cell,
        )
        metrics = Metrics(config.name)
        observation = Observation('entry', Timeline(config.name), metrics)
        self._links = PeerLinks(hello, event_queue.put, observation.channel)
        node = EntryNode(config, _load(self._storage), now())
        self._runtime = Runtime(
            node,
            self._links,
            tick_s=ENTRY_TICK_S,
            event_queue=event_queue,
            storage=self._storage,
            observer=observation.observer,
            now=now,
        )
        metrics.add_source('links', lambda: self._links.counters)
        metrics.add_source('state', lambda: read_state(node), gauges=True)
        reports = Reports(
            observation.timeline,
            metrics,
            observation.join(self._links),
            self._find_relay,
        )
        self._status = EntryStatus(node, reports, prepared=prepared)

    @property
    def requests(self) -> RequestPort:
        """The way to the entry's reducer."""
        return self._runtime

    @property
    def status(self) -> EntryStatus:
        """What the entry shows of itself."""
        return self._status

    async def run(
        self,
        stop: trio.Event,
        *,
        leave: trio.Event | None = None,
        task_status: trio.TaskStatus[EntryPorts] = (trio.TASK_STATUS_IGNORED),
    ) -> None:
        """Runs until the entry is stopped and has drained.

        Args:
            stop: Is set when the entry shall drain.
            leave: Until it is set, a drained entry goes on for its peers.
            task_status: Is told where the entry listens.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runtime.run)
            peers_port = await self._join(nursery)
            async with trio.open_nursery() as callers_nursery:
                port = await callers_nursery.start(self._serve_callers, stop)
                _log.info(
                    'entry: %s serves callers on port %d',
                    self._settings.name,
                    port,
                )
                task_status.started(EntryPorts(port, peers_port))
            await self._runtime.drained.wait()
            self.drained.set()
            if leave is not None:
                await leave.wait()
            await self._links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        if self._storage is not None:
            self._storage.close()
        _log.info('entry: %s has drained', self._settings.name)

    def _find_relay(self) -> str:
        """Returns a voter that has links to all, unless this is one."""
        if self._settings.is_voter:
            return ''
        return next(iter(self._links.connected), '')

    async def _join(self, nursery: trio.Nursery) -> int:
        """Listens for peers if this is a voter, and dials the others."""
        settings = self._settings
        peers_port = 0
        if settings.is_voter:
            peers_port = await nursery.start(
                listen,
                self._links,
                settings.peers.host,
                settings.peers.port,
            )
        dial_voters(nursery, self._links, _voters_to_dial(settings))
        return peers_port

    async def _serve_callers(
        self,
        stop: trio.Event,
        task_status: trio.TaskStatus[int],
    ) -> None:
        await serve_callers(
            make_app(self._runtime, self._status),
            self._settings.callers.host,
            self._settings.callers.port,
            shutdown_trigger=partial(self._drain, stop),
            drain_s=CALLERS_DRAIN_S,
            task_status=task_status,
        )

    async def _drain(self, stop: trio.Event) -> None:
        """Returns when no more connections shall be accepted.

        Explanation:
            The entry first reports that it isn't ready and still takes
            requests for a moment, so that a balancer can turn away and what
            is on its way gets its answer.
        """
        await stop.wait()
        _log.info('entry: drain')
        self._status.begin_drain()
        await trio.sleep(LAME_DUCK_S)
        self._runtime.deliver(DrainRequested)


def _open_storage(settings: EntrySettings) -> Storage | None:
    if not settings.is_voter:
        return None
    return open_storage(Path(settings.data_dir))


def _load(storage: Storage | None) -> StoredLog:
    return StoredLog() if storage is None else storage.load()


def _make_config(
    settings: EntrySettings,
    storage: Storage | None,
) -> EntryConfig:
    incarnation = make_incarnation()
    return EntryConfig(
        name=settings.name,
        incarnation=incarnation,
        cell=settings.cell,
        data_centre=settings.data_centre,
        voters=tuple(voter.name for voter in settings.voters),
        disk_incarnation='' if storage is None else storage.incarnation,
        synced_admission=settings.synced_admission,
        timing=settings.timing,
        bounds=settings.bounds,
        policy=settings.policy,
        seed=zlib.crc32(incarnation.encode()),
    )


def _voters_to_dial(settings: EntrySettings) -> list[VoterAddress]:
    """Returns the voters that this entry dials.

    Explanation:
        Of two voters the one whose name sorts first dials.
    """
    return [
        voter
        for voter in settings.voters
        if voter.name > settings.name
        or (voter.name != settings.name and not settings.is_voter)
    ]
