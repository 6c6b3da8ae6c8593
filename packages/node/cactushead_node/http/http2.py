"""One HTTP/2 connection, without TLS.

Explanation:
    One task reads, one writes, and one runs the application for each stream.
    The window of a stream grows as its body is taken, and of a reply one frame
    at a time waits to be written, so that little is kept for a client that
    sends without reading.
"""

import logging
from functools import partial

import trio
from h2 import events
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes

from ..holdings import PoolExhaustedError
from .asgi import AsgiApp, AsgiMessage
from .connection import (
    KEEP_ALIVE_S,
    NO_BODY_METHOD,
    READ_BYTES,
    HttpConnection,
)
from .guard import ConnectionGuard, ConnectionPlace
from .http1 import DISCONNECTED, http_date, request_message
from .http2_stream import Http2Stream, make_scope
from .stream import SEND_TIMEOUT_S, WriteTimeoutStream

# Streams that a client may reset beyond those that were replied to.
MAX_UNANSWERED_RESETS = 200
# Answers to control frames that may wait while further frames are read.
MAX_CONTROL_FRAMES = 100
# Ended streams of which the protocol library remembers how they ended.
MAX_REMEMBERED_STREAMS = 128
# Time in which a client may read the frames that end the connection.
CLOSE_TIMEOUT_S = 1.0

_log = logging.getLogger('cactushead.connections')


class _Protocol(H2Connection):
    """State of a connection that remembers few ended streams."""

    MAX_CLOSED_STREAMS = MAX_REMEMBERED_STREAMS


class Http2Connection(HttpConnection):
    """Serves the requests of all streams at the same time."""

    def __init__(
        self,
        app: AsgiApp,
        stream: WriteTimeoutStream,
        guard: ConnectionGuard,
        place: ConnectionPlace,
        scope: trio.CancelScope,
    ) -> None:
        """Wraps an accepted connection; see `HttpConnection`."""
        super().__init__(app, stream, guard, place, scope)
        self._protocol = _Protocol(
            H2Configuration(client_side=False, header_encoding=None)
        )
        self._streams: dict[int, Http2Stream] = {}
        self._unparsed_bytes = 0
        self._unanswered_resets = 0
        self._control_frames = 0
        self._read_scope = trio.CancelScope()
        self._window_changed = trio.Event()
        self._write_wanted = trio.Event()
        self._writer_idle = trio.Event()
        self._send_turn = trio.StrictFIFOLock()

    async def _serve(self, received: bytes) -> None:
        self._protocol.update_settings(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: (
                    self._guard.limits.max_streams
                )
            }
        )
        self._protocol.initiate_connection()
        self._want_write()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                await self._read(received, nursery)
                with trio.move_on_after(CLOSE_TIMEOUT_S):
                    await self._writer_idle.wait()
                nursery.cancel_scope.cancel()
        except* trio.BrokenResourceError as errors:
            _log.debug('connections: a client has left: %s', errors.exceptions)

    def close_when_idle(self) -> None:
        """Closes the connection once no request is in progress."""
        self._closing = True
        if not self._streams:
            self._read_scope.cancel()

    async def _read(self, received: bytes, nursery: trio.Nursery) -> None:
        """Reads frames until the connection ends."""
        with self._read_scope:
            while received:
                if not self._receive_frames(received, nursery):
                    return
                if self._control_frames > MAX_CONTROL_FRAMES:
                    await self._writer_idle.wait()
                received = await self._receive()

    async def _receive(self) -> bytes:
        """Returns what the client sends; no bytes if it is idle."""
        while True:
            with trio.move_on_after(KEEP_ALIVE_S):
                return await self._stream.receive_some(READ_BYTES)
            if not self._streams:
                return b''

    def _receive_frames(self, received: bytes, nursery: trio.Nursery) -> bool:
        """Handles frames; returns whether the connection goes on."""
        try:
            self._handle_all(received, nursery)
        except (ProtocolError, PoolExhaustedError):
            self._want_write()
            return False
        self._want_write()
        if self._unanswered_resets > MAX_UNANSWERED_RESETS:
            self._guard.refused_streams += 1
            self._protocol.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            return False
        return True

    def _handle_all(self, received: bytes, nursery: trio.Nursery) -> None:
        found = self._protocol.receive_data(received)
        self._count_unparsed(0 if found else len(received))
        for event in found:
            self._handle(event, nursery)

    def _count_unparsed(self, size_bytes: int) -> None:
        """Counts bytes of a frame, or block of headers, without its end."""
        unparsed_bytes = self._unparsed_bytes + size_bytes if size_bytes else 0
        kept_bytes = max(self._ahead_holding.size - self._unparsed_bytes, 0)
        self._ahead_holding.resize(kept_bytes + unparsed_bytes)
        self._unparsed_bytes = unparsed_bytes

    def _handle(self, event: events.Event, nursery: trio.Nursery) -> None:
        match event:
            case events.RequestReceived():
                self._open_stream(event, nursery)
            case events.DataReceived():
                self._receive_data(event)
            case events.StreamEnded():
                self._complete_request(event.stream_id)
            case events.StreamReset():
                self._drop_stream(event.stream_id)
            case events.ConnectionTerminated():
                self._read_scope.cancel()
            case events.PingReceived():
                self._control_frames += 1
            case events.WindowUpdated():
                self._notify_window()
            case events.RemoteSettingsChanged():
                self._control_frames += 1
                self._notify_window()

    def _open_stream(
        self, event: events.RequestReceived, nursery: trio.Nursery
    ) -> None:
        """Starts the application for a request, or refuses it."""
        stream = Http2Stream(event.stream_id, event.headers, self._guard)
        if self._closing or (
            len(self._streams) >= self._guard.limits.max_streams
        ):
            self._guard.refused_streams += 1
            self._refuse(stream)
            return
        try:
            stream.holding.grow(1)
        except PoolExhaustedError:
            self._refuse(stream)
            return
        self._streams[stream.stream_id] = stream
        nursery.start_soon(self._run_stream, stream)

    def _refuse(self, stream: Http2Stream) -> None:
        """Resets a stream in the way that says that it was not handled."""
        self._control_frames += 1
        self._reset(stream, ErrorCodes.REFUSED_STREAM)

    def _receive_data(self, event: events.DataReceived) -> None:
        size_bytes = event.flow_controlled_length
        stream = self._streams.get(event.stream_id)
        if stream is None or stream.gone:
            self._protocol.acknowledge_received_data(
                size_bytes, event.stream_id
            )
            return
        self._ahead_holding.grow(size_bytes)
        stream.body += event.data
        stream.unacknowledged_bytes += size_bytes
        stream.notify()

    def _complete_request(self, stream_id: int) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.complete = True
            stream.notify()

    def _drop_stream(self, stream_id: int) -> None:
        """Ends the task of a stream that the client has reset."""
        self._unanswered_resets += 1
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.gone = True
            stream.scope.cancel()

    async def _run_stream(self, stream: Http2Stream) -> None:
        try:
            with stream.scope:
                await self._app(
                    make_scope(stream.headers),
                    partial(self._receive_message, stream),
                    partial(self._send_message, stream),
                )
        finally:
            self._end_stream(stream)

    def _end_stream(self, stream: Http2Stream) -> None:
        """Forgets a stream; resets it if it has no whole reply."""
        self._acknowledge(stream)
        stream.holding.release()
        stream.reply.release()
        if not stream.replied and not stream.gone:
            reason = ErrorCodes.CANCEL
            if not stream.delivered:
                reason = ErrorCodes.REFUSED_STREAM
            self._reset(stream, reason)
        self._streams.pop(stream.stream_id)
        self._update_place()
        self._want_write()
        if self._closing and not self._streams:
            self._read_scope.cancel()

    def _reset(self, stream: Http2Stream, reason: ErrorCodes) -> None:
        try:
            self._protocol.reset_stream(stream.stream_id, reason)
        except ProtocolError:
            # The stream or the connection has ended already.
            return

    async def _receive_message(self, stream: Http2Stream) -> AsgiMessage:
        """Returns the next part of the request, or that the client left."""
        while not stream.body and not stream.gone:
            if stream.complete and not stream.delivered:
                stream.delivered = True
                stream.holding.evictable = False
                self._update_place()
                return request_message(b'', more_body=False)
            await stream.changed.wait()
        if stream.gone:
            return DISCONNECTED
        body = bytes(stream.body)
        stream.body.clear()
        self._acknowledge(stream)
        self._want_write()
        return request_message(body, more_body=True)

    def _acknowledge(self, stream: Http2Stream) -> None:
        """Opens the window by what was taken of a body."""
        size_bytes = stream.unacknowledged_bytes
        stream.unacknowledged_bytes = 0
        if not size_bytes:
            return
        self._ahead_holding.resize(
            max(self._ahead_holding.size - size_bytes, 0)
        )
        try:
            self._protocol.acknowledge_received_data(
                size_bytes, stream.stream_id
            )
        except ProtocolError:
            # The connection has ended.
            return

    async def _send_message(
        self, stream: Http2Stream, message: AsgiMessage
    ) -> None:
        """Takes the head of a reply, or sends it with its whole body."""
        if message['type'] == 'http.response.start':
            status = str(message['status']).encode('ascii')
            stream.head = [
                (b':status', status),
                *message['headers'],
                (b'date', http_date()),
            ]
            return
        body = message['body']
        if dict(stream.headers).get(b':method') == NO_BODY_METHOD:
            body = b''
        stream.holding.evictable = True
        stream.holding.renew()
        self._update_place()
        stream.reply.grow(min(len(body), self._guard.limits.max_reply_bytes))
        try:
            await self._send_reply(stream, body)
        except ProtocolError:
            # The client has reset the stream, or the connection has ended.
            stream.gone = True

    async def _send_reply(self, stream: Http2Stream, body: bytes) -> None:
        """Sends a reply as far as the windows of the client allow it."""
        self._protocol.send_headers(
            stream.stream_id, stream.head, end_stream=not body
        )
        view = memoryview(body)
        while view:
            size_bytes = await self._wait_for_window(stream)
            async with self._send_turn:
                await self._send_frame(stream, view, size_bytes)
            stream.reply.renew()
            view = view[size_bytes:]
        self._want_write()
        stream.replied = True
        self._unanswered_resets = max(self._unanswered_resets - 1, 0)
        await self._writer_idle.wait()

    async def _send_frame(
        self, stream: Http2Stream, body: memoryview, size_bytes: int
    ) -> None:
        """Sends one frame when those before it are written."""
        await self._writer_idle.wait()
        self._protocol.send_data(
            stream.stream_id,
            bytes(body[:size_bytes]),
            end_stream=size_bytes >= len(body),
        )
        self._want_write()

    async def _wait_for_window(self, stream: Http2Stream) -> int:
        """Returns how much of a reply the client takes now."""
        window = partial(
            self._protocol.local_flow_control_window, stream.stream_id
        )
        while window() <= 0:
            await self._wait_for_window_change(stream)
        return min(window(), self._protocol.max_outbound_frame_size)

    async def _wait_for_window_change(self, stream: Http2Stream) -> None:
        """Waits for a window to grow; ends the stream after a time-out."""
        with trio.move_on_after(SEND_TIMEOUT_S):
            await self._window_changed.wait()
            return
        stream.scope.cancel()

    async def _write(self) -> None:
        """Writes what the protocol has to send, until it is cancelled."""
        while True:
            await self._write_wanted.wait()
            self._write_wanted = trio.Event()
            frames = self._protocol.data_to_send()
            while frames:
                await self._stream.send_all(frames)
                frames = self._protocol.data_to_send()
            self._control_frames = 0
            self._writer_idle.set()

    def _want_write(self) -> None:
        """Wakes the task that writes."""
        if self._writer_idle.is_set():
            self._writer_idle = trio.Event()
        self._write_wanted.set()

    def _notify_window(self) -> None:
        self._window_changed.set()
        self._window_changed = trio.Event()

    def _update_place(self) -> None:
        """Records whether the connection waits for its client."""
        if any(stream.is_handled for stream in self._streams.values()):
            self._place.mark_handling()
        else:
            self._place.mark_waiting()
