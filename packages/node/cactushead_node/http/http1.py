"""One HTTP/1.1 connection.

Explanation:
    Requests are handled one after the other. While one is handled and its
    application watches for the end of the connection, what arrives is read
    ahead, up to a limit; otherwise nothing is read.
"""

import logging
import time
from email.utils import formatdate
from functools import lru_cache
from urllib.parse import unquote

import h11
import trio

from .asgi import AsgiApp, AsgiMessage, Scope
from .connection import (
    KEEP_ALIVE_S,
    NO_BODY_METHOD,
    READ_BYTES,
    HttpConnection,
)
from .guard import ConnectionGuard, ConnectionPlace
from .stream import WriteTimeoutStream

# Longest wait for the next part of a request's head.
HEAD_TIMEOUT_S = 30.0
# Largest head of a request.
MAX_HEAD_BYTES = 32_768
# Chunks of a body that are parsed without a pause.
MAX_PART_CHUNKS = 32
# Time in which a client that still sends may read the reply that refuses what
# it sends, before the connection is closed.
LINGER_S = 1.0

_log = logging.getLogger('cactushead.connections')

DISCONNECTED: AsgiMessage = {'type': 'http.disconnect'}

_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class Http1Connection(HttpConnection):
    """Serves one request after the other."""

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
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._ahead = bytearray()
        self._idle_scope: trio.CancelScope | None = None
        self._request: h11.Request | None = None
        self._body_complete = False
        self._end_delivered = False
        self._has_small_chunks = False
        self._replied = False
        self._invalid: h11.RemoteProtocolError | None = None
        self._response: h11.Response | None = None

    def close_when_idle(self) -> None:
        """Closes the connection once no request is in progress."""
        self._closing = True
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    @property
    def _is_last(self) -> bool:
        """Whether the connection closes and no other request has arrived."""
        return self._closing and not self._ahead_holding.size

    async def _serve(self, received: bytes) -> None:
        self._http.receive_data(received)
        self._ahead_holding.resize(len(received))
        try:
            await self._serve_requests()
        except trio.BrokenResourceError as error:
            _log.debug('connections: a client has left: %s', error)

    async def _serve_requests(self) -> None:
        while await self._receive_head():
            await self._app(self._make_scope(), self._receive, self._send)
            if not await self._prepare_next():
                return

    async def _receive_head(self) -> bool:
        """Receives the head of a request; returns whether there is one."""
        self._place.mark_waiting()
        if self._ahead_holding.size and self._request is not None:
            await self._guard.wait_for_turn()
        self._request = None
        try:
            event = await self._next_head_event()
        except h11.RemoteProtocolError as error:
            await self._refuse(error)
            return False
        if not isinstance(event, h11.Request):
            return False
        self._request = event
        self._body_complete = False
        self._end_delivered = False
        self._has_small_chunks = False
        self._replied = False
        self._response = None
        if not self._http.they_are_waiting_for_100_continue:
            self._complete_without_body()
        return True

    async def _next_head_event(self) -> _Event | None:
        event: _Event | None = self._http.next_event()
        timeout_s = HEAD_TIMEOUT_S if self._ahead_holding.size else KEEP_ALIVE_S
        while event is h11.NEED_DATA:
            if self._is_last:
                return None
            received = await self._receive_idle(timeout_s)
            if not received:
                return None
            timeout_s = HEAD_TIMEOUT_S
            self._ahead_holding.grow(len(received))
            self._http.receive_data(received)
            event = self._http.next_event()
        return event

    async def _receive_idle(self, timeout_s: float) -> bytes:
        """Returns what a client sends; no bytes if it sends nothing."""
        with trio.move_on_after(timeout_s) as scope:
            if not self._ahead_holding.size:
                self._idle_scope = scope
            try:
                return await self._stream.receive_some(READ_BYTES)
            finally:
                self._idle_scope = None
        return b''

    def _complete_without_body(self) -> None:
        """Notices the end of a request that has no body."""
        headers = dict(self._request.headers) if self._request else {}
        if headers.keys() & {b'content-length', b'transfer-encoding'}:
            # Its bytes belong to the request, and count as its body.
            self._ahead_holding.release()
            return
        self._parse_body()

    def _make_scope(self) -> Scope:
        request = self._request
        assert request is not None
        raw_path, _, query = request.target.partition(b'?')
        return {
            'type': 'http',
            'http_version': request.http_version.decode('ascii'),
            'method': request.method.decode('ascii'),
            'path': unquote(raw_path.decode('latin-1')),
            'raw_path': raw_path,
            'query_string': query,
            'headers': list(request.headers),
        }

    async def _receive(self) -> AsgiMessage:
        """Returns the next part of the request, or that the client left."""
        if self._end_delivered:
            if not self._replied:
                await self._read_until_closed()
            return DISCONNECTED
        try:
            body = await self._receive_body()
        except h11.RemoteProtocolError as error:
            self._invalid = error
            return DISCONNECTED
        self._end_delivered = self._body_complete
        return request_message(body, more_body=not self._body_complete)

    async def _receive_body(self) -> bytes:
        """Returns the next part of the body; none if it was complete."""
        body = b''
        while not body and not self._body_complete:
            body = await self._parse_part()
            if not body and not self._body_complete:
                await self._receive_more()
        return body

    async def _receive_more(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(go_on) or b'')
        received = await self._stream.receive_some(READ_BYTES)
        self._http.receive_data(received)

    async def _parse_part(self) -> bytes:
        """Returns a part of the body, of what was received.

        Explanation:
            Small chunks take long to parse. Beyond the first part of a body
            their parts are parsed in turns.
        """
        if self._has_small_chunks:
            await self._guard.wait_for_turn()
        return self._parse_chunks()

    def _parse_chunks(self) -> bytes:
        body = bytearray()
        for _ in range(MAX_PART_CHUNKS):
            event = self._parse_body()
            if not isinstance(event, h11.Data):
                return bytes(body)
            body += event.data
        self._has_small_chunks = True
        return bytes(body)

    def _parse_body(self) -> _Event:
        """Returns the next event of the body; notices its end."""
        event = self._http.next_event()
        if isinstance(event, h11.EndOfMessage):
            self._body_complete = True
            self._place.mark_handling()
            self._ahead_holding.resize(len(self._http.trailing_data[0]))
        return event

    async def _read_until_closed(self) -> None:
        """Reads ahead until the client leaves or sends too much."""
        limit_bytes = self._guard.limits.max_read_ahead_bytes
        while self._ahead_holding.size <= limit_bytes:
            received = await self._stream.receive_some(READ_BYTES)
            if not received:
                return
            self._ahead += received
            self._ahead_holding.grow(len(received))
        self._guard.cut_off += 1

    async def _send(self, message: AsgiMessage) -> None:
        """Takes the head of a reply, or sends it with its whole body."""
        if message['type'] == 'http.response.start':
            self._response = h11.Response(
                status_code=message['status'],
                headers=[*message['headers'], (b'date', http_date())],
            )
            return
        assert self._response is not None
        await self._send_reply(self._response, message['body'])

    async def _send_reply(self, response: h11.Response, body: bytes) -> None:
        """Sends a reply, as a holding that ends if the client stalls."""
        if self._is_last:
            response = _with_close(response)
        head = self._http.send(response) or b''
        content = b''
        if self._request is None or self._request.method != NO_BODY_METHOD:
            content = self._http.send(h11.Data(data=body)) or b''
        self._http.send(h11.EndOfMessage())
        self._place.mark_waiting()
        self._reply_holding.grow(
            min(len(body), self._guard.limits.max_reply_bytes)
        )
        if len(content) <= READ_BYTES:
            head, content = head + content, b''
        await self._stream.send_all(head)
        await self._stream.send_all(content, self._reply_holding.renew)
        self._reply_holding.release()
        self._replied = True

    async def _prepare_next(self) -> bool:
        """Returns whether another request may follow on the connection."""
        if self._http.our_state not in {h11.DONE, h11.MUST_CLOSE}:
            if self._invalid is not None:
                await self._refuse(self._invalid)
            return False
        self._discard_body()
        if self._http.their_state in {h11.SEND_BODY, h11.ERROR}:
            await self._linger()
            return False
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE) or self._is_last:
            return False
        self._http.start_next_cycle()
        if self._ahead:
            self._http.receive_data(bytes(self._ahead))
            self._ahead = bytearray()
        return True

    def _discard_body(self) -> None:
        """Discards what was received of a body that wasn't wanted."""
        if self._body_complete:
            return
        try:
            self._parse_chunks()
        except h11.RemoteProtocolError as error:
            _log.debug('connections: a body was not valid: %s', error)

    async def _refuse(self, error: h11.RemoteProtocolError) -> None:
        """Replies to a request that is not valid HTTP."""
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        body = b'{"error": "invalid request"}'
        response = h11.Response(
            status_code=error.error_status_hint,
            headers=[
                (b'content-type', b'application/json'),
                (b'content-length', str(len(body)).encode('ascii')),
                (b'connection', b'close'),
            ],
        )
        await self._send_reply(response, body)
        await self._linger()

    async def _linger(self) -> None:
        """Lets a client that still sends read the reply.

        Explanation:
            Closing a connection with unread bytes resets it, and the client
            could lose the reply.
        """
        await self._stream.send_eof()
        with trio.move_on_after(LINGER_S):
            received = b'more'
            while received:
                received = await self._stream.receive_some(READ_BYTES)


def request_message(body: bytes, *, more_body: bool) -> AsgiMessage:
    """Returns a part of a request's body as a message."""
    return {'type': 'http.request', 'body': body, 'more_body': more_body}


def _with_close(response: h11.Response) -> h11.Response:
    """Returns a response that says that the connection closes."""
    headers = [*response.headers, (b'connection', b'close')]
    return h11.Response(status_code=response.status_code, headers=headers)


def http_date() -> bytes:
    """Returns the value of the header `date` for a reply."""
    return _format_date(int(time.time()))


@lru_cache(maxsize=1)
def _format_date(now_s: int) -> bytes:
    return formatdate(now_s, usegmt=True).encode('ascii')
