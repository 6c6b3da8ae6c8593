"""Server that accepts links from other processes."""

import trio
from websockets.trio.server import serve

from .link import CLOSE_TIMEOUT_S
from .links import (
    HELLO_TIMEOUT_S,
    MAX_FRAME_BYTES,
    PING_TIMEOUT_S,
    PeerLinks,
)


async def listen(
    links: PeerLinks,
    host: str,
    port: int,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts links until it is cancelled.

    Args:
        links: Links of this process.
        host: IP address to listen on.
        port: TCP port, 0 for any.
        task_status: Receives the port when the server listens.
    """
    listeners = await trio.open_tcp_listeners(port, host=host)
    task_status.started(listeners[0].socket.getsockname()[1])
    await serve(
        links.run_socket,
        listeners=listeners,
        compression=None,
        ping_interval=links.ping_interval_s,
        ping_timeout=PING_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        open_timeout=HELLO_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
    )
