"""A connection's byte stream with a bound on blocked writes."""

import trio

SLICE_BYTES = 65536
SEND_TIMEOUT_S = 30.0


class WriteTimeoutStream:
    """A TCP stream that breaks when its peer takes no data for long.

    Explanation:
        Hypercorn shields its writes from cancellation. A caller that stops
        reading its reply would hold its task for ever, and with it the end
        of a graceful shutdown.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        """Wraps a stream.

        Args:
            stream: The stream.
            timeout_s: Longest wait until the peer takes one slice.
        """
        self.socket = stream.socket
        self._stream = stream
        self._timeout_s = timeout_s

    async def send_all(self, data: bytes) -> None:
        """Sends bytes, slice by slice.

        Args:
            data: The bytes.

        Raises:
            trio.BrokenResourceError: The peer takes no data.
        """
        view = memoryview(data)
        for start in range(0, len(view), SLICE_BYTES):
            await self._send_slice(view[start : start + SLICE_BYTES])

    async def receive_some(self, max_bytes: int) -> bytes:
        """Returns the next bytes, none at the end of the stream.

        Args:
            max_bytes: Largest number of bytes.
        """
        return await self._stream.receive_some(max_bytes)

    async def send_eof(self) -> None:
        """Tells the peer that no more data will come."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    async def _send_slice(self, data: memoryview) -> None:
        with trio.move_on_after(self._timeout_s):
            await self._stream.send_all(data)
            return
        # What was sent of the slice is unknown.
        await trio.aclose_forcefully(self._stream)
        raise trio.BrokenResourceError(
            f'peer took no data in {self._timeout_s} s',
        )
