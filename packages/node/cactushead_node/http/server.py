"""The HTTP server.

Explanation:
    Hypercorn serves the connections, but this module accepts them. The
    accept loop of hypercorn stops the server when the handler of a single
    connection raises an exception, and a request can cause that, such as an
    HTTP/2 request with a path that is not ASCII.

    While an HTTP/1.1 request is not answered and bytes of another one have
    arrived, hypercorn doesn't read. This module then watches for the end of the
    connection, which would otherwise stay unnoticed.
"""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import EventWrapper, WorkerContext
from hypercorn.typing import ConnectionState

from .exchange import Receive, Scope, SendMessage
from .stream import WriteTimeoutStream

LOGGER = logging.getLogger('cactushead.callers')

# Load balancers reuse idle connections. The time-out is long, so that the
# server does not close a connection while a request is on its way to it.
KEEP_ALIVE_S = 75.0
MAX_REQUESTS_PER_CONNECTION = 1_000_000
MAX_BACKLOG_CONNECTIONS = 1024
MAX_STREAMS_PER_CONNECTION = 1000

AsyncFunction = Callable[[], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, SendMessage], Awaitable[None]]


async def serve_http(
    app: AsgiApp,
    host: str,
    port: int,
    *,
    shutdown_trigger: AsyncFunction,
    drain_s: float,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves HTTP/1.1 and HTTP/2 until the shutdown.

    Explanation:
        When the trigger returns, the server stops accepting connections,
        closes the idle ones and completes the requests in flight. HTTP/2 is
        served without TLS to clients that send its connection preface.

    Args:
        app: The ASGI application.
        host: IP address to listen on.
        port: TCP port to listen on, 0 for any free port.
        shutdown_trigger: Returns when the server is to shut down.
        drain_s: Time limit for the requests in flight after that.
        task_status: Receives the port when the server is listening.
    """
    listeners = await trio.open_tcp_listeners(
        port,
        host=host,
        backlog=MAX_BACKLOG_CONNECTIONS,
    )
    context = WorkerContext(None)
    handle = partial(
        _serve_connection,
        ASGIWrapper(app),  # type: ignore[arg-type]
        _server_config(),
        context,
    )
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accept_loop:
            accept_loop.start_soon(
                partial(
                    trio.serve_listeners,
                    handle,
                    listeners,
                    handler_nursery=connections,
                ),
            )
            task_status.started(listeners[0].socket.getsockname()[1])
            await shutdown_trigger()
            accept_loop.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + drain_s


class _ReadingResumed(EventWrapper):
    """Event for which hypercorn may wait before it reads again.

    Explanation:
        Only the task that reads the connection waits for that. The other tasks
        of a connection, such as those of the streams of HTTP/2, wait for events
        while it is read.
    """

    def __init__(
        self, watch: AsyncFunction, reader: trio.lowlevel.Task
    ) -> None:
        """Creates an event that isn't set.

        Args:
            watch: Runs while the reader waits.
            reader: Task that reads the connection.
        """
        super().__init__()
        self._watch = watch
        self._reader = reader

    async def wait(self) -> None:
        """Waits for the event."""
        if trio.lowlevel.current_task() is not self._reader:
            await super().wait()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            await super().wait()
            nursery.cancel_scope.cancel()


class _ConnectionContext(WorkerContext):
    """Context of one connection, which watches it while nothing is read."""

    def __init__(self, server: WorkerContext, watch: AsyncFunction) -> None:
        """Shares the shutdown of the server; called by the reader's task.

        Args:
            server: Context of the server.
            watch: Runs while hypercorn doesn't read.
        """
        super().__init__(None)
        self.terminated = server.terminated
        # Hypercorn creates its events by a call without arguments.
        self.event_class = partial(  # type: ignore[assignment]
            _ReadingResumed, watch, trio.lowlevel.current_task()
        )


async def _serve_connection(
    app: ASGIWrapper,
    config: Config,
    context: WorkerContext,
    stream: trio.SocketStream,
) -> None:
    """Serves one connection; an exception ends only this connection."""
    bounded_stream = WriteTimeoutStream(stream)
    scope = trio.CancelScope()

    async def cancel_when_closed() -> None:
        await bounded_stream.read_until_closed()
        scope.cancel()

    try:
        with scope:
            await TCPServer(
                app,
                config,
                _ConnectionContext(context, cancel_when_closed),
                ConnectionState({}),
                bounded_stream,  # type: ignore[arg-type]
            )
    except Exception as error:
        LOGGER.warning('connection closed after an error: %r', error)


def _server_config() -> Config:
    config = Config()
    config.errorlog = LOGGER
    config.h2_max_concurrent_streams = MAX_STREAMS_PER_CONNECTION
    config.include_server_header = False
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.keep_alive_timeout = KEEP_ALIVE_S
    return config
