"""The HTTP server for callers and operators."""

import logging
from collections.abc import Awaitable, Callable

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .app import CallerApp

# Balancers keep idle connections, and a request must not cross their close.
KEEP_ALIVE_S = 75.0
REQUESTS_PER_CONNECTION = 1_000_000
BACKLOG_CONNECTIONS = 1024
STREAMS_PER_CONNECTION = 1000


async def serve_callers(
    app: CallerApp,
    host: str,
    port: int,
    *,
    shutdown_trigger: Callable[[], Awaitable[None]],
    drain_s: float,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves HTTP/1.1 and HTTP/2 until the shutdown.

    Explanation:
        After the trigger returns, no connection is accepted, idle ones are
        closed, and requests in flight are answered. HTTP/2 is served without
        TLS to clients that begin with its preface.

    Args:
        app: The application.
        host: IP number to listen on.
        port: TCP port to listen on, 0 for any free one.
        shutdown_trigger: Returns when the server shall stop.
        drain_s: How long requests in flight may go on after that.
        task_status: Gets the server's URLs once it listens.
    """
    await serve(
        app,  # type: ignore[arg-type]
        _server_config(host, port, drain_s),
        shutdown_trigger=shutdown_trigger,
        task_status=task_status,
        mode='asgi',
    )


def _server_config(host: str, port: int, drain_s: float) -> Config:
    config = Config()
    shown_host = f'[{host}]' if ':' in host else host
    config.bind = [f'{shown_host}:{port}']
    config.backlog = BACKLOG_CONNECTIONS
    config.errorlog = logging.getLogger('cactushead.callers')
    config.graceful_timeout = drain_s
    config.h2_max_concurrent_streams = STREAMS_PER_CONNECTION
    config.include_server_header = False
    config.keep_alive_max_requests = REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = KEEP_ALIVE_S
    return config
