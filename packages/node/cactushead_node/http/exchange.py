"""One HTTP request and its reply over the ASGI interface."""

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any, TypeVar

import trio

from .budget import MAX_BODY_BYTES, BodyBudget, Reservation
from .errors import BodyTimeoutError, BodyTooLargeError, CallerDisconnectedError
from .reply import Reply

BODY_TIMEOUT_S = 30.0
DISCONNECT_GRACE_S = 1.0
# Passes of the event loop after which the server has handed on the end of a
# connection that arrived with the request; hypercorn 0.18 needs three.
READER_PASSES = 6

# ASGI defines scopes and messages as mappings.
Scope = MutableMapping[str, Any]
AsgiMessage = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
SendMessage = Callable[[AsgiMessage], Awaitable[None]]

_Outcome = TypeVar('_Outcome')


class Exchange:
    """One HTTP exchange: receives a request and sends its reply.

    Attributes:
        method: HTTP method of the request.
        raw_path: Path of the request, still percent-encoded.
        query: Query of the URL, still percent-encoded.
    """

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: SendMessage,
    ) -> None:
        """Initializes the exchange; the body is not read yet.

        Args:
            scope: The ASGI scope of type `http`.
            receive: Returns the next message of the request.
            send: Sends a message of the reply.
        """
        self.method = str(scope['method'])
        self.raw_path = _raw_path(scope)
        self.query = scope.get('query_string', b'').decode('ascii', 'replace')
        self._body = b''
        self._headers = scope.get('headers', ())
        self._receive = receive
        self._send = send
        self._body_read = False
        self._http2 = scope.get('http_version') == '2'

    def header_values(self, name: str) -> list[str]:
        """Returns all values of a header, in order.

        Args:
            name: Name of the header, in lower case.
        """
        wanted = name.encode('ascii')
        return [
            text.decode('latin-1')
            for header, text in self._headers
            if header.lower() == wanted
        ]

    async def read_body(self, budget: BodyBudget) -> None:
        """Reads the complete body.

        Args:
            budget: Memory limit for the bodies that are being received.

        Raises:
            BodyBudgetError: The budget is exhausted by other bodies.
            BodyTooLargeError: The body is larger than the limit; the rest of
                it is not read.
            CallerDisconnectedError: The caller closed the connection.
            BodyTimeoutError: The body was not received before the time-out.
        """
        self._check_content_length()
        with trio.move_on_after(BODY_TIMEOUT_S), budget.reserve() as memory:
            await self._read_chunks(memory)
        if not self._body_read:
            raise BodyTimeoutError(f'no whole body in {BODY_TIMEOUT_S} s')

    def take_body(self) -> bytes:
        """Returns the body and drops the reference, to free its memory."""
        body = self._body
        self._body = b''
        return body

    async def run_until_disconnect(
        self,
        compute: Callable[[], Awaitable[_Outcome]],
        *,
        check_first: bool = False,
    ) -> _Outcome:
        """Returns a function's result unless the caller disconnects first.

        Explanation:
            The body must have been read before, because further messages of
            the request are discarded. After a pause of the process, a request
            may be read although its caller has left.

        Args:
            compute: The function to await; it is cancelled when the caller
                disconnects.
            check_first: Whether it isn't called if the caller left before the
                request was read.

        Raises:
            CallerDisconnectedError: The caller closed the connection.
        """
        outcomes: list[_Outcome] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            for _ in range(READER_PASSES if check_first else 0):
                await trio.lowlevel.checkpoint()
            outcomes.append(await compute())
            nursery.cancel_scope.cancel()
        if not outcomes:
            raise CallerDisconnectedError('disconnect before the reply')
        return outcomes[0]

    async def send(self, reply: Reply) -> None:
        """Sends the reply.

        Explanation:
            The server queues a limited number of chunks of a body and then
            blocks. The rest of a body that was rejected before it was read
            completely is therefore discarded while the reply is sent. Over
            HTTP/2 the rest is discarded before the reply: hypercorn closes
            the connection, with all its other requests, when it receives
            more of a body after the reply. Hypercorn also never returns from
            sending an HTTP/2 reply that can no longer be delivered, so the
            send is cancelled after a disconnect.
        """
        if self._body_read and not self._http2:
            await self._send_reply(reply)
            return
        if self._http2:
            with trio.move_on_after(BODY_TIMEOUT_S):
                await self._discard_body()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_blocked_send, nursery.cancel_scope)
            await self._send_reply(reply)
            nursery.cancel_scope.cancel()

    async def _send_reply(self, reply: Reply) -> None:
        headers = [
            (b'content-type', reply.content_type.encode('ascii')),
            (b'content-length', str(len(reply.body)).encode('ascii')),
        ]
        headers.extend(
            (header.name.encode('ascii'), header.value.encode('ascii'))
            for header in reply.headers
        )
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(HTTPStatus(reply.status)),
                'headers': headers,
            },
        )
        await self._send({'type': 'http.response.body', 'body': reply.body})

    async def _read_chunks(self, reservation: Reservation) -> None:
        """Reads the body and reserves memory chunk by chunk."""
        chunks: list[bytes] = []
        size_bytes = 0
        while not self._body_read:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError('disconnect within the body')
            chunk = message.get('body', b'')
            size_bytes += len(chunk)
            if size_bytes > MAX_BODY_BYTES:
                raise BodyTooLargeError(_size_finding(size_bytes))
            reservation.grow(len(chunk))
            chunks.append(chunk)
            self._body_read = not message.get('more_body', False)
        self._body = b''.join(chunks)

    def _check_content_length(self) -> None:
        """Rejects a body by its declared length, before any of it is read."""
        for text in self.header_values('content-length'):
            if text.isdecimal() and int(text) > MAX_BODY_BYTES:
                raise BodyTooLargeError(_size_finding(int(text)))

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        await self._wait_for_disconnect()
        scope.cancel()

    async def _cancel_blocked_send(self, scope: trio.CancelScope) -> None:
        """Cancels sending the reply some time after the disconnect."""
        await self._wait_for_disconnect()
        # ASGI signals a disconnect after a completely sent reply, too.
        await trio.sleep(DISCONNECT_GRACE_S)
        scope.cancel()

    async def _discard_body(self) -> None:
        """Receives the rest of the body without storing it."""
        while not self._body_read:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError(
                    'disconnect within a rejected body'
                )
            self._body_read = not message.get('more_body', False)

    async def _wait_for_disconnect(self) -> None:
        """Discards messages until the caller disconnects."""
        message_type = ''
        while message_type != 'http.disconnect':
            message = await self._receive()
            message_type = message['type']


def _size_finding(size_bytes: int) -> str:
    """Returns the finding about a body that is too large."""
    return f'must be up to {MAX_BODY_BYTES} bytes, got {size_bytes}'


def _raw_path(scope: Scope) -> str:
    """Returns the path as it was sent, if the server provides that."""
    raw_path = scope.get('raw_path') or scope['path'].encode('utf-8')
    return raw_path.decode('latin-1')
