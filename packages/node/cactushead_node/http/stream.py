"""A TCP stream with a write time-out, which can be read ahead."""

import trio

CHUNK_BYTES = 65536
SEND_TIMEOUT_S = 30.0
# A caller that sends more than this behind a request that isn't answered yet is
# cut off, since its hang-up could not be noticed any more.
MAX_READ_AHEAD_BYTES = 8 * CHUNK_BYTES


class WriteTimeoutStream:
    """A TCP stream that is closed when a write blocks for too long.

    Explanation:
        Hypercorn shields its writes from cancellation. Without the time-out,
        a caller that stops reading its reply would block the connection's
        task forever and prevent a graceful shutdown.
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
        self.socket = stream.socket
        self._stream = stream
        self._timeout_s = timeout_s
        self._read_ahead = bytearray()
        self._receive_lock = trio.Lock()

    async def send_all(self, data: bytes) -> None:
        """Sends bytes in chunks, each with its own time-out.

        Args:
            data: The bytes to send.

        Raises:
            trio.BrokenResourceError: A write timed out; the stream is closed.
        """
        view = memoryview(data)
        for start in range(0, len(view), CHUNK_BYTES):
            await self._send_chunk(view[start : start + CHUNK_BYTES])

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns the next bytes, or no bytes at the end of the stream.

        Args:
            max_bytes: Largest number of bytes to return.
        """
        async with self._receive_lock:
            if self._read_ahead:
                data = bytes(self._read_ahead[:max_bytes])
                del self._read_ahead[:max_bytes]
                return data
            return await self._stream.receive_some(max_bytes)

    async def read_until_closed(self) -> None:
        """Returns when the peer has closed the stream, or sends too much.

        Explanation:
            What is read meanwhile is kept for `receive_some`, which may be
            called at the same time.
        """
        while len(self._read_ahead) < MAX_READ_AHEAD_BYTES:
            async with self._receive_lock:
                try:
                    data = await self._stream.receive_some(CHUNK_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
            if not data:
                return
            self._read_ahead += data

    async def send_eof(self) -> None:
        """Closes the sending direction of the stream."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

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
