"""Base class of the connections of either version of HTTP."""

from abc import ABC, abstractmethod

import trio

from ..holdings import Holding
from .asgi import AsgiApp
from .guard import ConnectionGuard, ConnectionPlace
from .stream import WriteTimeoutStream

# Load balancers reuse idle connections. The time-out is long, so that the
# server does not close a connection while a request is on its way to it.
KEEP_ALIVE_S = 75.0
# Bytes that are read at once; a parser keeps up to twice as many.
READ_BYTES = 16_384
# A reply to a request with this method has no body.
NO_BODY_METHOD = b'HEAD'


class HttpConnection(ABC):
    """Reads requests, calls the application and writes its replies."""

    def __init__(
        self,
        app: AsgiApp,
        stream: WriteTimeoutStream,
        guard: ConnectionGuard,
        place: ConnectionPlace,
        scope: trio.CancelScope,
    ) -> None:
        """Wraps an accepted connection.

        Args:
            app: The application.
            stream: The connection.
            guard: Limits of all connections.
            place: Place of this connection among all.
            scope: Ends the connection when it is cancelled.
        """
        self._app = app
        self._stream = stream
        self._guard = guard
        self._place = place
        self._ahead_holding = Holding(guard.read_ahead, scope.cancel)
        self._reply_holding = Holding(guard.replies, scope.cancel)
        self._closing = False

    async def run(self, received: bytes) -> None:
        """Serves until the client closes the connection, or a limit is met.

        Args:
            received: Bytes that were received already.
        """
        try:
            await self._serve(received)
        finally:
            self._ahead_holding.release()
            self._reply_holding.release()

    @abstractmethod
    def close_when_idle(self) -> None:
        """Closes the connection once no request is in progress."""

    @abstractmethod
    async def _serve(self, received: bytes) -> None:
        """Serves until the connection ends.

        Args:
            received: Bytes that were received already.
        """
