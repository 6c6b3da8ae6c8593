"""The HTTP server.

Explanation:
    It serves HTTP/1.1 and, to clients that send its connection preface,
    HTTP/2 without TLS. What its connections may hold is limited by the guard,
    which all servers of a process share.
"""

import logging
from collections.abc import Awaitable, Callable
from importlib import import_module

import trio

from ..accepting import PatientListener
from ..holdings import PoolExhaustedError
from .asgi import AsgiApp
from .connection import KEEP_ALIVE_S, READ_BYTES, HttpConnection
from .guard import ConnectionGuard, ConnectionPlace
from .http1 import Http1Connection
from .stream import WriteTimeoutStream

LOGGER = logging.getLogger('cactushead.callers')

MAX_BACKLOG_CONNECTIONS = 1024
HTTP2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'

AsyncFunction = Callable[[], Awaitable[None]]


async def serve_http(
    app: AsgiApp,
    host: str,
    port: int,
    *,
    shutdown_trigger: AsyncFunction,
    drain_s: float,
    guard: ConnectionGuard | None = None,
    http2: bool = True,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves HTTP until the shutdown.

    Explanation:
        When the trigger returns, the server stops accepting connections,
        closes the idle ones and completes the requests in flight.

    Args:
        app: The ASGI application.
        host: IP address to listen on.
        port: TCP port to listen on, 0 for any free port.
        shutdown_trigger: Returns when the server is to shut down.
        drain_s: Time limit for the requests in flight after that.
        guard: Limits of all connections of the process; by default those of
            the settings, for this server alone.
        http2: Whether HTTP/2 is served.
        task_status: Receives the port when the server is listening.
    """
    listeners = await trio.open_tcp_listeners(
        port,
        host=host,
        backlog=MAX_BACKLOG_CONNECTIONS,
    )
    server = _Server(app, guard or ConnectionGuard(), http2=http2)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accept_loops:
            for listener in listeners:
                accept_loops.start_soon(server.accept, listener, connections)
            task_status.started(listeners[0].socket.getsockname()[1])
            await shutdown_trigger()
            accept_loops.cancel_scope.cancel()
        for listener in listeners:
            await listener.aclose()
        server.close_idle()
        connections.cancel_scope.deadline = trio.current_time() + drain_s
    server.close()


class _Connection:
    """An accepted connection.

    Attributes:
        scope: Ends the connection when it is cancelled.
        http: Serves it; None until its first bytes have arrived.
    """

    def __init__(self) -> None:
        """Creates a connection that has received nothing yet."""
        self.scope = trio.CancelScope()
        self.http: HttpConnection | None = None

    def close_when_idle(self) -> None:
        """Closes the connection once no request is in progress."""
        if self.http is None:
            self.scope.cancel()
        else:
            self.http.close_when_idle()


class _Server:
    """Accepts connections and serves each in a task of its own."""

    def __init__(
        self, app: AsgiApp, guard: ConnectionGuard, *, http2: bool
    ) -> None:
        """Creates a server without connections."""
        self._app = app
        self._guard = guard
        self._http2 = http2
        self._pool = guard.add_listener()
        self._connections: set[_Connection] = set()

    async def accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accepts connections until it is cancelled."""
        patient = PatientListener(listener, self._guard.close_oldest)
        while True:
            await self._admit(await patient.accept(), nursery)

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in tuple(self._connections):
            connection.close_when_idle()

    def close(self) -> None:
        """Forgets the listen address."""
        self._guard.remove_listener(self._pool)

    async def _admit(
        self, stream: trio.SocketStream, nursery: trio.Nursery
    ) -> None:
        """Serves a connection if there is a place for it, else closes it."""
        connection = _Connection()
        try:
            place = self._guard.admit(self._pool, connection.scope.cancel)
        except PoolExhaustedError:
            self._guard.log_limits()
            await trio.aclose_forcefully(stream)
            return
        self._connections.add(connection)
        nursery.start_soon(self._serve, connection, place, stream)

    async def _serve(
        self,
        connection: _Connection,
        place: ConnectionPlace,
        stream: trio.SocketStream,
    ) -> None:
        """Serves one connection; an exception ends only this connection."""
        try:
            with connection.scope:
                await self._run(connection, place, WriteTimeoutStream(stream))
        except Exception as error:
            LOGGER.warning('connection closed after an error: %r', error)
        finally:
            self._remove(connection, place)
            await trio.aclose_forcefully(stream)

    def _remove(self, connection: _Connection, place: ConnectionPlace) -> None:
        self._connections.discard(connection)
        place.release()
        self._guard.log_limits()

    async def _run(
        self,
        connection: _Connection,
        place: ConnectionPlace,
        stream: WriteTimeoutStream,
    ) -> None:
        received = await _receive_start(stream)
        if not received:
            return
        make_http: Callable[..., HttpConnection] = Http1Connection
        if received.startswith(HTTP2_PREFACE):
            if not self._http2:
                return
            # Most processes never need the module and its library.
            make_http = import_module('.http2', __package__).Http2Connection
        connection.http = make_http(
            self._app, stream, self._guard, place, connection.scope
        )
        await connection.http.run(received)


async def _receive_start(stream: WriteTimeoutStream) -> bytes:
    """Returns the first bytes, enough to tell the version of HTTP."""
    start = b''
    with trio.move_on_after(KEEP_ALIVE_S):
        while HTTP2_PREFACE.startswith(start):
            received = await stream.receive_some(READ_BYTES)
            if not received:
                return b''
            start += received
            if start.startswith(HTTP2_PREFACE):
                return start
        return start
    return b''
