"""WebSocket connections that read while a large frame is being written."""

from websockets.trio.client import ClientConnection
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection


class _ReadingConnection(Connection):
    """Reads although a write waits until the peer reads.

    Explanation:
        The library calls `send_data` after each read, for answers such as
        pongs, and `send_data` waits for the write in progress. Without answers
        there is nothing to wait for; two ends that both wait would never read.
    """

    async def send_data(self) -> None:
        """Sends the data that the protocol has queued, if any."""
        if self.protocol.writes:
            await super().send_data()


class DialledConnection(_ReadingConnection, ClientConnection):
    """Connection that this process has dialled."""


class AcceptedConnection(_ReadingConnection, ServerConnection):
    """Connection that this process has accepted."""
