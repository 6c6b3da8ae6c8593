"""Composition of an entry."""

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
from ..http import ConnectionGuard, serve_http
from ..observability import Timeline
from ..observability.metrics import Metrics
from ..observability.reports import Reports
from ..peers import Hello, PeerLinks
from ..peers.listener import listen
from ..runtime import ENTRY_TICK_S, Runtime
from ..settings import EntrySettings, VoterAddress
from ..status import EntryStatus, read_state
from ..storage import Storage, open_storage
from .observability_wiring import ObservabilityWiring
from .peering import FLUSH_TIMEOUT_S, dial_voters, make_incarnation

CALLERS_DRAIN_TIMEOUT_S = 3600.0
# Time from reporting not ready until requests are no longer accepted.
LAME_DUCK_S = 0.2

_log = logging.getLogger('cactushead.entry')


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Ports on which a running entry listens.

    Attributes:
        callers: TCP port for callers and operators.
        peers: TCP port for the other processes; 0 if it is not a voter.
    """

    callers: int
    peers: int


class EntryProcess:
    """An entry with its links, its storage and its HTTP server.

    Attributes:
        drained: Set once all callers have received their responses.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        prepared: bool = True,
    ) -> None:
        """Opens the data folder, creates the components and connects them.

        Args:
            settings: Validated settings.
            prepared: Whether the entry needs no preparation to be ready.

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
        wiring = ObservabilityWiring('entry', Timeline(config.name), metrics)
        self._links = PeerLinks(hello, event_queue.put, wiring.interceptor)
        node = EntryNode(config, _load_log(self._storage), now())
        self._runtime = Runtime(
            node,
            self._links,
            tick_s=ENTRY_TICK_S,
            event_queue=event_queue,
            storage=self._storage,
            observer=wiring.observer,
            now=now,
        )
        self._guard = ConnectionGuard(settings.connections)
        metrics.add_source('links', lambda: self._links.counters)
        metrics.add_source('connections', lambda: self._guard.counters)
        metrics.add_source('state', lambda: read_state(node), gauges=True)
        reports = Reports(
            wiring.timeline,
            metrics,
            wiring.connect(self._links),
            self._find_relay,
        )
        self._status = EntryStatus(node, reports, prepared=prepared)

    @property
    def requests(self) -> RequestPort:
        """Port for requests to the entry's reducer."""
        return self._runtime

    @property
    def status(self) -> EntryStatus:
        """Readiness, time line and metrics of the entry."""
        return self._status

    async def run(
        self,
        stop: trio.Event,
        *,
        exit_allowed: trio.Event | None = None,
        task_status: trio.TaskStatus[EntryPorts] = (trio.TASK_STATUS_IGNORED),
    ) -> None:
        """Runs until `stop` is set and the entry has drained.

        Args:
            stop: Set when the entry must drain.
            exit_allowed: Set when a drained entry may exit; until then it
                continues to serve its peers. By default it exits at once.
            task_status: Receives the ports when the entry is listening.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runtime.run)
            peers_port = await self._connect_peers(nursery)
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
            if exit_allowed is not None:
                await exit_allowed.wait()
            await self._links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        if self._storage is not None:
            self._storage.close()
        _log.info('entry: %s has drained', self._settings.name)

    def _find_relay(self) -> str:
        """Returns a voter that relays queries; empty if this is a voter.

        Explanation:
            Only voters have links to all processes.
        """
        if self._settings.is_voter:
            return ''
        return next(iter(self._links.connected), '')

    async def _connect_peers(self, nursery: trio.Nursery) -> int:
        """Listens for peers if this is a voter, and dials the other voters."""
        settings = self._settings
        peers_port = 0
        if settings.is_voter:
            peers_port = await nursery.start(
                listen,
                self._links,
                settings.peers.host,
                settings.peers.port,
                settings.connections.max_handshakes,
            )
        dial_voters(nursery, self._links, _voters_to_dial(settings))
        return peers_port

    async def _serve_callers(
        self,
        stop: trio.Event,
        task_status: trio.TaskStatus[int],
    ) -> None:
        await serve_http(
            make_app(self._runtime, self._status, self._guard.bodies),
            self._settings.callers.host,
            self._settings.callers.port,
            shutdown_trigger=partial(self._start_drain, stop),
            drain_s=CALLERS_DRAIN_TIMEOUT_S,
            guard=self._guard,
            task_status=task_status,
        )

    async def _start_drain(self, stop: trio.Event) -> None:
        """Waits for `stop` and returns when the HTTP server must shut down.

        Explanation:
            The entry first reports that it is not ready and still accepts
            requests for `LAME_DUCK_S`, so that load balancers can remove it
            and requests already sent to it receive a response.
        """
        await stop.wait()
        _log.info('entry: drain')
        self._status.mark_draining()
        await trio.sleep(LAME_DUCK_S)
        self._runtime.deliver(DrainRequested)


def _open_storage(settings: EntrySettings) -> Storage | None:
    if not settings.is_voter:
        return None
    return open_storage(Path(settings.data_dir))


def _load_log(storage: Storage | None) -> StoredLog:
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
        Of two voters, the one whose name sorts first dials the other, so that
        there is one link between them. An entry that is not a voter dials
        all voters.
    """
    return [
        voter
        for voter in settings.voters
        if voter.name > settings.name
        or (voter.name != settings.name and not settings.is_voter)
    ]
