"""Limit of the accepted links whose peer is not identified yet."""

import trio

from ..accepting import PatientListener
from ..holdings import Holding, OldestFirstPool
from .counters import LinkCounters


class Handshakes:
    """Accepted links whose peer is not identified yet.

    Explanation:
        At the limit, the one that was accepted first is closed. A peer
        identifies itself at once, so links of peers are not among them.
    """

    def __init__(self, max_handshakes: int, counters: LinkCounters) -> None:
        """Creates an empty set.

        Args:
            max_handshakes: Largest number of links.
            counters: Counters of the process's links.
        """
        self._pool = OldestFirstPool(max_handshakes)
        self._counters = counters
        self._holdings: dict[trio.SocketStream, Holding] = {}

    def begin(self, stream: trio.SocketStream) -> None:
        """Adds an accepted link; closes another one at the limit.

        Args:
            stream: Connection of the link.
        """
        if self._pool.used >= self._pool.max_all:
            self._forget_closed()
        holding = Holding(self._pool, stream.socket.close)
        self._holdings[stream] = holding
        holding.grow(1)
        self._counters.closed_handshakes = self._pool.evicted

    def end(self, stream: trio.abc.Stream) -> None:
        """Removes a link whose peer is identified.

        Args:
            stream: Connection of the link.
        """
        if isinstance(stream, trio.SocketStream):
            holding = self._holdings.pop(stream, None)
            if holding is not None:
                holding.release()

    def close_oldest(self) -> None:
        """Closes the link that was accepted first."""
        self._forget_closed()
        self._pool.evict_one()
        self._counters.closed_handshakes = self._pool.evicted

    def _forget_closed(self) -> None:
        for stream in tuple(self._holdings):
            if stream.socket.fileno() < 0:
                self.end(stream)


class LinkListener(PatientListener):
    """Listener for links, which limits those without an identified peer."""

    def __init__(
        self, listener: trio.SocketListener, handshakes: Handshakes
    ) -> None:
        """Wraps a listener.

        Args:
            listener: The listener.
            handshakes: Links whose peer is not identified yet.
        """
        super().__init__(listener, handshakes.close_oldest)
        self._handshakes = handshakes

    async def accept(self) -> trio.SocketStream:
        """Waits for a connection and returns it.

        Raises:
            OSError: The listener is broken.
        """
        stream = await super().accept()
        self._handshakes.begin(stream)
        return stream
