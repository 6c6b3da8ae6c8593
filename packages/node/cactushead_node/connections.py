"""Connections to HTTP servers."""

from collections.abc import Sequence
from dataclasses import dataclass

import httpcore
import trio


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Time-outs of one request.

    Attributes:
        connect_s: Longest wait for a connection, and for each write.
        read_s: Longest wait for each part of the answer.
    """

    connect_s: float
    read_s: float


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
        self._idle: list[httpcore.AsyncHTTP11Connection] = []

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
                was sent.
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
        request = httpcore.Request(
            b'POST',
            f'http://{address}{path}',
            headers=[
                (b'host', address.encode('ascii')),
                (b'content-length', b'%d' % len(content)),
                *headers,
            ],
            content=content,
            extensions={
                'timeout': {
                    'read': timeouts.read_s,
                    'write': timeouts.connect_s,
                },
            },
        )
        try:
            response = await connection.handle_async_request(request)
        except BaseException:
            await self._discard(connection)
            raise
        try:
            body = await response.aread()
        finally:
            # Closing an answer that was not read closes its connection too.
            with trio.CancelScope(shield=True):
                await response.aclose()
        if connection.is_idle() and address == self._address:
            self._idle.append(connection)
        else:
            await self._discard(connection)
        return response.status, body

    async def _discard(
        self, connection: httpcore.AsyncHTTP11Connection
    ) -> None:
        with trio.CancelScope(shield=True):
            await connection.aclose()

    async def _take(
        self, address: str, connect_s: float
    ) -> httpcore.AsyncHTTP11Connection:
        """Returns an idle connection to a server, or opens one."""
        if address != self._address:
            await self._close_idle()
            self._address = address
        while self._idle:
            connection = self._idle.pop()
            # The server may have closed it meanwhile.
            if not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.rpartition(':')
        try:
            stream = await self._backend.connect_tcp(
                host, int(port), timeout=connect_s
            )
        except httpcore.ConnectTimeout as error:
            raise httpcore.ConnectError(str(error)) from error
        origin = httpcore.Origin(b'http', host.encode('ascii'), int(port))
        return httpcore.AsyncHTTP11Connection(origin, stream)

    async def _close_idle(self) -> None:
        while self._idle:
            await self._idle.pop().aclose()
