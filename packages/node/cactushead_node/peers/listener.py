"""Server that accepts links from other processes."""

from functools import partial

import trio
from websockets.trio.connection import Connection
from websockets.trio.server import serve

from ..settings import ConnectionLimits
from .connections import AcceptedConnection
from .handshakes import Handshakes, LinkListener
from .link import CLOSE_TIMEOUT_S
from .links import (
    HELLO_TIMEOUT_S,
    MAX_FRAME_BYTES,
    PING_TIMEOUT_S,
    PeerLinks,
)

MAX_HANDSHAKES = ConnectionLimits().max_handshakes


async def listen(
    links: PeerLinks,
    host: str,
    port: int,
    max_handshakes: int = MAX_HANDSHAKES,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts links until it is cancelled.

    Args:
        links: Links of this process.
        host: IP address to listen on.
        port: TCP port, 0 for any.
        max_handshakes: Largest number of links without an identified peer.
        task_status: Receives the port when the server listens.
    """
    handshakes = Handshakes(max_handshakes, links.counters)
    listeners = [
        LinkListener(listener, handshakes)
        for listener in await trio.open_tcp_listeners(port, host=host)
    ]
    task_status.started(listeners[0].socket.getsockname()[1])

    async def run_link(socket: Connection) -> None:
        on_identified = partial(handshakes.end, socket.stream)
        await links.run_socket(socket, on_identified=on_identified)

    await serve(
        run_link,
        # The library uses a listener's socket, `accept` and `aclose` only.
        listeners=listeners,  # type: ignore[arg-type]
        compression=None,
        ping_interval=links.ping_interval_s,
        ping_timeout=PING_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        open_timeout=HELLO_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        create_connection=AcceptedConnection,
    )
