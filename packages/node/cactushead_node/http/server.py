"""The HTTP server.

Explanation:
    Connections are served by hypercorn. The loop that accepts them is here,
    because hypercorn's own ends the whole server when the code of one
    connection raises, and a request can make it raise, such as an HTTP/2
    path that is not ASCII.
"""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from .exchange import Receive, Scope, SendMessage
from .stream import WriteTimeoutStream

LOGGER = logging.getLogger('cactushead.callers')

# Balancers keep idle connections, and a request must not cross their close.
KEEP_ALIVE_S = 75.0
REQUESTS_PER_CONNECTION = 1_000_000
BACKLOG_CONNECTIONS = 1024
STREAMS_PER_CONNECTION = 1000

AsgiApp = Callable[[Scope, Receive, SendMessage], Awaitable[None]]


async def serve_http(
    app: AsgiApp,
    host: str,
    port: int,
    *,
    shutdown_trigger: Callable[[], Awaitable[None]],
    drain_s: float,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
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
        task_status: Gets the port once the server listens.
    """
    listeners = await trio.open_tcp_listeners(
        port,
        host=host,
        backlog=BACKLOG_CONNECTIONS,
    )
    context = WorkerContext(None)
    handle = partial(
        _serve_connection,
        ASGIWrapper(app),  # type: ignore[arg-type]
        _server_config(),
        context,
    )
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    handle,
                    listeners,
                    handler_nursery=connections,
                ),
            )
            task_status.started(listeners[0].socket.getsockname()[1])
            await shutdown_trigger()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + drain_s


async def _serve_connection(
    app: ASGIWrapper,
    config: Config,
    context: WorkerContext,
    stream: trio.SocketStream,
) -> None:
    state = ConnectionState({})
    try:
        await TCPServer(
            app,
            config,
            context,
            state,
            WriteTimeoutStream(stream),  # type: ignore[arg-type]
        )
    except Exception as error:
        LOGGER.warning('connection closed after an error: %r', error)


def _server_config() -> Config:
    config = Config()
    config.errorlog = LOGGER
    config.h2_max_concurrent_streams = STREAMS_PER_CONNECTION
    config.include_server_header = False
    config.keep_alive_max_requests = REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = KEEP_ALIVE_S
    return config
