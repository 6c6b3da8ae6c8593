"""Connections to HTTP servers."""

from collections.abc import Sequence
from dataclasses import dataclass

import h11
import httpcore
import trio

# Above the answers of upstreams, so that one read takes all of one.
READ_BYTES = 65_536

_REFUSALS = (ConnectionRefusedError, ConnectionResetError)


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Time-outs of one request.

    Attributes:
        connect_s: Longest wait for a connection, and for each write.
        read_s: Longest wait for each part of the answer.
    """

    connect_s: float
    read_s: float


def is_refused(error: Exception) -> bool:
    """Whether an error shows that nothing listens at an address.

    Explanation:
        Others, such as a lack of file descriptors in this process, say nothing
        about the server. It may still run with its port closed.

    Args:
        error: The error of the attempt to connect.
    """
    cause: BaseException | None = error
    while cause is not None:
        # The attempts for each address of a host are a group.
        if isinstance(cause, BaseExceptionGroup):
            return cause.subgroup(_REFUSALS) is not None
        cause = cause.__cause__
    return False


def make_connection_pool(
    max_connections: int,
    keepalive_s: float,
) -> httpcore.AsyncConnectionPool:
    """Returns a bounded connection pool that does not retry requests.

    Args:
        max_connections: Largest number of open connections.
        keepalive_s: Time after which an idle connection is closed.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=keepalive_s,
        retries=0,
        network_backend=httpcore.TrioBackend(),
    )


class _Connection:
    """A connection on which one request at a time is sent.

    Explanation:
        A request is written at once, and the parser of the library behind the
        general connection is used directly: that connection takes two writes
        and about twice the processor time for each request.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Wraps an open stream.

        Args:
            stream: The stream.
        """
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    @property
    def closed_by_server(self) -> bool:
        """Whether an idle connection was closed by the server."""
        return bool(self._stream.get_extra_info('is_readable'))

    async def exchange(
        self, request: h11.Request, content: bytes, timeouts: Timeouts
    ) -> tuple[int, bytes]:
        """Sends a request and returns the status and the body of the answer.

        Args:
            request: Head of the request.
            content: Its body.
            timeouts: Time-outs of the request.

        Raises:
            httpcore.NetworkError: The connection broke.
            httpcore.ProtocolError: The answer is no valid HTTP.
            httpcore.TimeoutException: There was no answer in time.
        """
        events = (request, h11.Data(data=content), h11.EndOfMessage())
        blob = b''.join(self._http.send(event) or b'' for event in events)
        await self._stream.write(blob, timeout=timeouts.connect_s)
        status = 0
        body = []
        while True:
            event = await self._next_event(timeouts.read_s)
            match event:
                case h11.Response():
                    status = event.status_code
                case h11.Data():
                    body.append(bytes(event.data))
                case h11.EndOfMessage():
                    return status, b''.join(body)

    def prepare_next(self) -> bool:
        """Returns whether the connection can be used for another request."""
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def _next_event(self, read_s: float) -> h11.Event:
        """Returns the next event of the answer."""
        event = self._parse()
        while event is h11.NEED_DATA:
            received = await self._stream.read(READ_BYTES, timeout=read_s)
            event = self._parse(received)
        if isinstance(event, h11.Event):
            return event
        raise httpcore.RemoteProtocolError(f'unexpected {event!r}')

    def _parse(
        self, received: bytes | None = None
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event after received bytes; empty ones end it."""
        if received is not None:
            self._http.receive_data(received)
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error


class ReusedConnections:
    """Connections to one server, each used by one request at a time.

    Explanation:
        The general pool of the library costs more processor time per request
        than the request itself. This class keeps only what calls to a server
        on the same machine need: reuse, a bound, and no retries.
    """

    def __init__(self, max_connections: int) -> None:
        """Creates an empty set; opens no connection.

        Args:
            max_connections: Largest number of open connections.
        """
        self._backend = httpcore.TrioBackend()
        self._slots = trio.Semaphore(max_connections)
        self._address = ''
        self._idle: list[_Connection] = []

    async def post(
        self,
        address: str,
        path: str,
        headers: Sequence[tuple[bytes, bytes]],
        content: bytes,
        timeouts: Timeouts,
    ) -> tuple[int, bytes]:
        """Sends a POST request and returns the status and the body.

        Args:
            address: Host and port of the server.
            path: Path of the request.
            headers: Headers, without those that the body requires.
            content: Body.
            timeouts: Time-outs of the request.

        Raises:
            httpcore.ConnectError: No connection could be opened, so nothing
                was sent. See `is_refused`.
            httpcore.ConnectTimeout: No connection was opened in time, so
                nothing was sent.
            httpcore.PoolTimeout: All connections are in use, so nothing was
                sent.
            httpcore.NetworkError: The connection broke.
            httpcore.ProtocolError: The answer is no valid HTTP.
            httpcore.TimeoutException: There was no answer in time.
        """
        try:
            with trio.fail_after(timeouts.connect_s):
                await self._slots.acquire()
        except trio.TooSlowError:
            raise httpcore.PoolTimeout(
                f'no connection to {address} was free for'
                f' {timeouts.connect_s} s'
            ) from None
        try:
            return await self._post(address, path, headers, content, timeouts)
        finally:
            self._slots.release()

    async def _post(
        self,
        address: str,
        path: str,
        headers: Sequence[tuple[bytes, bytes]],
        content: bytes,
        timeouts: Timeouts,
    ) -> tuple[int, bytes]:
        connection = await self._take(address, timeouts.connect_s)
        request = h11.Request(
            method='POST',
            target=path,
            headers=[
                (b'host', address.encode('ascii')),
                (b'content-length', b'%d' % len(content)),
                *headers,
            ],
        )
        try:
            status, body = await connection.exchange(request, content, timeouts)
        except BaseException:
            await self._discard(connection)
            raise
        if connection.prepare_next() and address == self._address:
            self._idle.append(connection)
        else:
            await self._discard(connection)
        return status, body

    async def _discard(self, connection: _Connection) -> None:
        with trio.CancelScope(shield=True):
            await connection.close()

    async def _take(self, address: str, connect_s: float) -> _Connection:
        """Returns an idle connection to a server, or opens one."""
        if address != self._address:
            await self._close_idle()
            self._address = address
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed_by_server:
                return connection
            await connection.close()
        host, _, port = address.rpartition(':')
        stream = await self._backend.connect_tcp(
            host, int(port), timeout=connect_s
        )
        return _Connection(stream)

    async def _close_idle(self) -> None:
        while self._idle:
            await self._idle.pop().close()
