"""WebSocket connections that read while a large frame is being written."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from websockets.trio.client import ClientConnection
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection

_log = logging.getLogger('cactushead.peers')


class _ReadingConnection(Connection):
    """Reads although a write waits until the peer reads.

    Explanation:
        The library calls `send_data` after each read, to send answers such as
        pongs, and `send_data` may wait for the peer. Two ends that both wait
        would never read, so the task that reads lets another task send.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Creates a connection as the library does."""
        self._reader: trio.lowlevel.Task | None = None
        super().__init__(*args, **options)

    async def recv_events(self) -> None:
        """Reads until the connection ends."""
        self._reader = trio.lowlevel.current_task()
        await super().recv_events()

    async def send_data(self) -> None:
        """Sends what is queued; the reader doesn't wait for that."""
        if trio.lowlevel.current_task() is not self._reader:
            await super().send_data()
        elif self.protocol.writes:
            self.nursery.start_soon(_send_answers, super().send_data)


class DialledConnection(_ReadingConnection, ClientConnection):
    """Connection that this process has dialled."""


class AcceptedConnection(_ReadingConnection, ServerConnection):
    """Connection that this process has accepted."""


async def _send_answers(send: Callable[[], Awaitable[None]]) -> None:
    try:
        await send()
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        # The reader finds that the connection has ended.
        _log.debug('peers: cannot send an answer: %r', error)
