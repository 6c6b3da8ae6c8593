"""Entry process of a fleet."""

import logging
import zlib
from abc import ABC, abstractmethod
from dataclasses import replace
from functools import partial
from pathlib import Path

import trio
from cactushead_core.configuration.manager import ConfigurationFormat
from cactushead_core.discovery import Dial, DropPeer
from cactushead_core.events import DrainRequested
from cactushead_core.fleet import FleetEntry, FleetSettings
from cactushead_core.replication import StoredLog

from ..composition.peering import FLUSH_TIMEOUT_S, make_incarnation
from ..runtime import Runtime
from ..storage import Storage, open_storage
from .clock import boot_time_s
from .gateway import EntryGateway
from .observer import LoggingObserver
from .process_links import TICK_S, ProcessLinks
from .settings import FleetEntrySettings

# Time to keep serving after reporting not ready: load balancers check once a
# second and stop routing to the entry after two failed checks.
LAME_DUCK_S = 2.2
# Part of the grace period that is reserved for closing links and files.
CLOSE_RESERVE_S = 0.4

_log = logging.getLogger('cactushead.fleet')


class EntryServers(ABC):
    """Servers through which callers and operators access an entry."""

    @abstractmethod
    async def serve(
        self,
        gateway: EntryGateway,
        *,
        stopped: trio.Event,
        drain_s: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until stopped, then completes open requests and returns.

        Args:
            gateway: Interface of the entry.
            stopped: Is set when no further requests may be accepted; idle
                connections are closed then.
            drain_s: Time that open requests may take after that.
            task_status: Is signalled when the servers listen.
        """


class FleetEntryProcess:
    """Runs the entry of a fleet with its storage, links and servers."""

    def __init__(
        self,
        settings: FleetEntrySettings,
        file_format: ConfigurationFormat,
        servers: EntryServers,
    ) -> None:
        """Opens the data folder; creates the reducer, links and runtime.

        Args:
            settings: Validated settings.
            file_format: Parser of stored configurations.
            servers: Servers for callers and operators.

        Raises:
            StorageError: The data folder is unreadable, damaged or in use.
        """
        incarnation = make_incarnation()
        self._settings = settings
        self._servers = servers
        self._storage = _open_data_dir(settings)
        storage = self._storage
        disk = '' if storage is None else storage.incarnation
        own = replace(settings.own, disk_incarnation=disk)
        self._process_links = ProcessLinks(
            own, incarnation, settings.connections.max_handshakes
        )
        node = FleetEntry(
            FleetSettings(
                own,
                settings.seeds,
                losses=settings.losses,
                first_start=settings.first_start,
                is_disk_from_first_start=storage is not None
                and storage.is_from_first_start,
                data_centres=settings.data_centres,
                dispatch=settings.dispatch,
                seed=zlib.crc32(incarnation.encode()),
            ),
            incarnation,
            StoredLog() if storage is None else storage.load(),
            file_format,
            boot_time_s(),
        )
        self._runtime = Runtime(
            node,
            self._process_links.links,
            tick_s=TICK_S,
            event_queue=self._process_links.event_queue,
            storage=storage,
            observer=LoggingObserver('entry'),
            effect_handlers={
                Dial: self._process_links.dial,
                DropPeer: self._process_links.drop,
            },
            now=boot_time_s,
        )
        self._gateway = EntryGateway(node, self._runtime, boot_time_s)

    async def run(self, stop: trio.Event) -> None:
        """Runs until the entry is stopped and has drained.

        Args:
            stop: Is set when the entry has to drain.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runtime.run)
            await nursery.start(self._process_links.run)
            await self._serve_until(stop)
            self._runtime.deliver(DrainRequested)
            await self._runtime.drained.wait()
            await self._process_links.links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        if self._storage is not None:
            self._storage.close()
        _log.info('fleet: entry %s has drained', self._settings.own.name)

    async def _serve_until(self, stop: trio.Event) -> None:
        """Serves until stopped and all open requests are answered.

        Explanation:
            After a stop the entry reports that it is not ready, but accepts
            requests for `LAME_DUCK_S`, until load balancers have noticed.
        """
        stopped = trio.Event()
        drain_s = max(
            self._settings.grace_s - LAME_DUCK_S - CLOSE_RESERVE_S, 0.0
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(
                partial(
                    self._servers.serve,
                    self._gateway,
                    stopped=stopped,
                    drain_s=drain_s,
                ),
            )
            _log.info('fleet: entry %s serves', self._settings.own.name)
            await stop.wait()
            self._gateway.stopping = True
            await trio.sleep(LAME_DUCK_S)
            stopped.set()


def _open_data_dir(settings: FleetEntrySettings) -> Storage | None:
    if not settings.data_dir:
        return None
    return open_storage(
        Path(settings.data_dir), first_start=settings.first_start
    )
