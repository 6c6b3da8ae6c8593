"""Link to a peer: a WebSocket with a bounded send queue."""

import logging
from collections import deque
from collections.abc import Callable

import trio
from cactushead_core.errors import FrameError
from cactushead_core.events import Peer
from cactushead_core.messages import Message, decode_frame
from websockets.exceptions import ConnectionClosed
from websockets.trio.connection import Connection

from .counters import LinkCounters

MAX_QUEUE_BYTES = 32_000_000
SEND_TIMEOUT_S = 4.0
# Takes 0.1 s at 5 Mbit/s, so that parts of a frame arrive as often as pings.
FRAGMENT_BYTES = 65_536
CLOSE_TIMEOUT_S = 1.0

_log = logging.getLogger('cactushead.peers')

Receive = Callable[[Message], None]
ReportProgress = Callable[[], None]


class Link:
    """WebSocket whose remote process has been identified.

    Explanation:
        If a peer stops reading, either the send queue fills up or a write
        times out. The link is dropped in both cases, which bounds its memory.

    Attributes:
        peer: The remote process.
        is_open: Whether messages may be sent and delivered.
    """

    def __init__(
        self,
        socket: Connection,
        peer: Peer,
        counters: LinkCounters,
    ) -> None:
        """Creates a link on an open WebSocket, which it will close.

        Args:
            socket: The WebSocket.
            peer: The remote process.
            counters: Traffic counters of the local process.
        """
        self.peer = peer
        self.is_open = True
        self._received_s = trio.current_time()
        self._socket = socket
        self._counters = counters
        self._queue: deque[tuple[bytes, int]] = deque()
        self._queued_bytes = 0
        self._writer_wakeup = trio.lowlevel.ParkingLot()
        self._scope = trio.CancelScope()

    @property
    def flushed(self) -> bool:
        """Whether all queued frames have been written."""
        return not self._queued_bytes

    @property
    def silence_s(self) -> float:
        """Time since the last frame was received."""
        return trio.current_time() - self._received_s

    def send(self, frame: bytes, messages: int) -> None:
        """Queues a frame; drops the link if the queue is full.

        Args:
            frame: The encoded frame.
            messages: Number of messages in the frame.
        """
        if self._queued_bytes + len(frame) > MAX_QUEUE_BYTES:
            self._counters.dropped_messages += messages
            self.drop(f'{self._queued_bytes} bytes are waiting')
            return
        self._queue.append((frame, messages))
        self._queued_bytes += len(frame)
        self._writer_wakeup.unpark()

    def drop(self, cause: str) -> None:
        """Aborts the link without waiting for the peer.

        Args:
            cause: Reason, which is logged.
        """
        if self.is_open:
            self._counters.dropped_links += 1
            _log.warning('peers: drop link to %s: %s', self.peer.name, cause)
        self.is_open = False
        self._scope.cancel()

    async def close(self) -> None:
        """Closes the link gracefully, so that the peer reads written frames."""
        await close_socket(self._socket)

    async def run(
        self, receive: Receive, report_progress: ReportProgress
    ) -> None:
        """Receives and sends until the link is closed.

        Args:
            receive: Handles each received message.
            report_progress: Called when a part of a large frame arrived.
        """
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                await self._read(receive, report_progress)
                nursery.cancel_scope.cancel()
        self.is_open = False
        self._counters.dropped_messages += sum(
            count for _, count in self._queue
        )
        await close_socket(self._socket)

    async def _read(
        self, receive: Receive, report_progress: ReportProgress
    ) -> None:
        """Receives frames until the connection is closed or one is invalid."""
        try:
            while True:
                frame = await self._read_frame(report_progress)
                messages = decode_frame(frame)
                self._counters.count_received(len(messages), len(frame))
                for message in messages:
                    receive(message)
        except ConnectionClosed as closed:
            _log.info('peers: link to %s ended: %s', self.peer.name, closed)
        except FrameError as error:
            self.drop(f'bad frame: {error}')

    async def _read_frame(self, report_progress: ReportProgress) -> bytes:
        """Receives one frame, and reports the arrival of its parts."""
        parts: list[bytes] = []
        async for part in self._socket.recv_streaming(decode=False):
            if parts:
                report_progress()
            self._received_s = trio.current_time()
            parts.append(part)
        return b''.join(parts)

    async def _write(self) -> None:
        """Sends queued frames until a write fails."""
        while True:
            if not self._queue:
                await self._writer_wakeup.park()
            frame, messages = self._queue[0]
            if not await self._send_frame(frame):
                return
            self._queue.popleft()
            self._queued_bytes -= len(frame)
            self._counters.count_sent(messages, len(frame))

    async def _send_frame(self, frame: bytes) -> bool:
        """Writes a frame; returns whether that succeeded in time."""
        try:
            with trio.fail_after(SEND_TIMEOUT_S):
                await self._socket.send(_split(frame))
        except ConnectionClosed:
            return False
        except trio.TooSlowError:
            self.drop(f'no write in {SEND_TIMEOUT_S} s')
            return False
        return True


async def close_socket(socket: Connection) -> None:
    """Closes a WebSocket, forcibly if the peer does not respond.

    Args:
        socket: The WebSocket.
    """
    try:
        with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
            await socket.aclose()
    except (ConnectionClosed, trio.BrokenResourceError) as error:
        _log.debug('peers: a link broke while it was closed: %s', error)
    await trio.aclose_forcefully(socket.stream)


def _split(frame: bytes) -> bytes | list[bytes]:
    """Returns a large frame in the parts in which it is sent."""
    if len(frame) <= FRAGMENT_BYTES:
        return frame
    return [
        frame[start : start + FRAGMENT_BYTES]
        for start in range(0, len(frame), FRAGMENT_BYTES)
    ]
