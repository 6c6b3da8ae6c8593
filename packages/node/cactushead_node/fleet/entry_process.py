"""The process of a fleet's entry."""

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
from .clock import boot_s
from .door import Door
from .linked import TICK_S, LinkedProcess
from .observer import LoggingObserver
from .settings import FleetEntrySettings

# A balancer asks once a second and turns away after two misses.
LAME_DUCK_S = 2.2
# Closing links and files takes less.
CLOSE_S = 0.4

_log = logging.getLogger('cactushead.fleet')


class Doors(ABC):
    """The servers through which callers and operators reach an entry."""

    @abstractmethod
    async def serve(
        self,
        door: Door,
        *,
        stopped: trio.Event,
        drain_s: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until the event, then answers what is open and returns.

        Args:
            door: The entry.
            stopped: Is set when no more requests shall be taken; idle
                connections are closed then.
            drain_s: How long open requests may go on after that.
            task_status: Is told when the servers listen.
        """


class FleetEntryProcess:
    """An entry of a fleet."""

    def __init__(
        self,
        settings: FleetEntrySettings,
        file_format: ConfigurationFormat,
        doors: Doors,
    ) -> None:
        """Opens the data folder and wires the parts.

        Args:
            settings: Checked settings.
            file_format: Reads configurations.
            doors: Servers for callers and operators.

        Raises:
            StorageError: The data folder can't be read.
        """
        incarnation = make_incarnation()
        self._settings = settings
        self._doors = doors
        self._storage = _open(settings.data_dir)
        disk = '' if self._storage is None else self._storage.incarnation
        own = replace(settings.own, disk_incarnation=disk)
        self._linked = LinkedProcess(own, incarnation)
        node = FleetEntry(
            FleetSettings(
                own,
                settings.seeds,
                losses=settings.losses,
                first_start=settings.first_start,
                dispatch=settings.dispatch,
                seed=zlib.crc32(incarnation.encode()),
            ),
            incarnation,
            StoredLog() if self._storage is None else self._storage.load(),
            file_format,
            boot_s(),
        )
        self._runtime = Runtime(
            node,
            self._linked.links,
            tick_s=TICK_S,
            event_queue=self._linked.event_queue,
            storage=self._storage,
            observer=LoggingObserver('entry'),
            effect_handlers={
                Dial: self._linked.dial,
                DropPeer: self._linked.drop,
            },
            now=boot_s,
        )
        self._door = Door(node, self._runtime, boot_s)

    async def run(self, stop: trio.Event) -> None:
        """Runs until the entry is stopped and has drained.

        Args:
            stop: Is set when the entry shall drain.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._runtime.run)
            await nursery.start(self._linked.run)
            await self._serve_until(stop)
            self._runtime.deliver(DrainRequested)
            await self._runtime.drained.wait()
            await self._linked.links.close(FLUSH_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        if self._storage is not None:
            self._storage.close()
        _log.info('fleet: entry %s has drained', self._settings.own.name)

    async def _serve_until(self, stop: trio.Event) -> None:
        """Serves until all callers have their answers after a stop."""
        stopped = trio.Event()
        drain_s = max(self._settings.grace_s - LAME_DUCK_S - CLOSE_S, 0.0)
        async with trio.open_nursery() as nursery:
            await nursery.start(
                partial(
                    self._doors.serve,
                    self._door,
                    stopped=stopped,
                    drain_s=drain_s,
                ),
            )
            _log.info('fleet: entry %s serves', self._settings.own.name)
            await stop.wait()
            self._door.stopping = True
            await trio.sleep(LAME_DUCK_S)
            stopped.set()


def _open(data_dir: str) -> Storage | None:
    return open_storage(Path(data_dir)) if data_dir else None
