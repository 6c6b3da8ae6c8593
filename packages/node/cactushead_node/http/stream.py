"""A TCP stream with a write time-out."""

from collections.abc import Callable

import trio

CHUNK_BYTES = 65536
SEND_TIMEOUT_S = 30.0


class WriteTimeoutStream:
    """A TCP stream that is closed when a write blocks for too long.

    Explanation:
        Without the time-out, a caller that stops reading its reply would block
        the connection's task until the process ends, and prevent a graceful
        shutdown.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        """Wraps a stream.

        Args:
            stream: The stream.
            timeout_s: Time limit for writing one chunk.
        """
        self._stream = stream
        self._timeout_s = timeout_s

    async def send_all(
        self, data: bytes, on_progress: Callable[[], None] | None = None
    ) -> None:
        """Sends bytes in chunks, each with its own time-out.

        Args:
            data: The bytes to send.
            on_progress: Called after each chunk.

        Raises:
            trio.BrokenResourceError: A write timed out, or the connection
                broke; the stream is closed.
        """
        view = memoryview(data)
        for start in range(0, len(view), CHUNK_BYTES):
            await self._send_chunk(view[start : start + CHUNK_BYTES])
            if on_progress is not None:
                on_progress()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns the next bytes, or no bytes at the end of the stream.

        Explanation:
            A broken connection is its end, too.

        Args:
            max_bytes: Largest number of bytes to return.
        """
        try:
            return await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b''

    async def send_eof(self) -> None:
        """Closes the sending direction of the stream."""
        await self._stream.send_eof()

    async def _send_chunk(self, data: memoryview) -> None:
        with trio.move_on_after(self._timeout_s):
            await self._stream.send_all(data)
            return
        # It is unknown how much of the chunk was sent, so the stream cannot be
        # used again.
        await trio.aclose_forcefully(self._stream)
        raise trio.BrokenResourceError(
            f'peer did not accept a chunk within {self._timeout_s} s',
        )
