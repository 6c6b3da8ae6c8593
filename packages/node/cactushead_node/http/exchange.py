"""One HTTP request and its reply over the ASGI interface."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeVar

import trio

from .asgi import Receive, Scope, SendMessage
from .budget import BodyBudget, Reservation
from .errors import (
    BodyBudgetError,
    BodyTimeoutError,
    BodyTooLargeError,
    CallerDisconnectedError,
)
from .reply import Reply

BODY_TIMEOUT_S = 30.0
DISCONNECT_GRACE_S = 1.0
# Size up to which chunks of a body are kept together.
PIECE_BYTES = 16_384
# Passes of the event loop after which the server has handed on the end of a
# connection that arrived with the request.
READER_PASSES = 6

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
        self._reservation: Reservation | None = None
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

        Explanation:
            The body stays within the budget until the exchange is closed.

        Args:
            budget: Memory limit for all bodies.

        Raises:
            BodyBudgetError: The budget is exhausted by other bodies, or this
                one was incomplete for longer than all others.
            BodyTooLargeError: The body is larger than the limit; the rest of
                it is not read.
            CallerDisconnectedError: The caller closed the connection.
            BodyTimeoutError: The body was not received before the time-out.
        """
        self._check_content_length(budget.max_body_bytes)
        given_up = trio.CancelScope()
        self._reservation = budget.open_reservation(given_up.cancel)
        with given_up, trio.move_on_after(BODY_TIMEOUT_S):
            await self._read_chunks(self._reservation, budget.max_body_bytes)
        if self._body_read:
            self._reservation.keep()
            return
        self.close()
        if given_up.cancel_called:
            raise BodyBudgetError('the body took longer than all others')
        raise BodyTimeoutError(f'no whole body in {BODY_TIMEOUT_S} s')

    def close(self) -> None:
        """Returns the memory of the body to the budget."""
        if self._reservation is not None:
            self._reservation.release()

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
            The rest of a body that was rejected before it was read completely
            is discarded while the reply is sent, as many clients don't read
            before they have sent all. Over HTTP/2 it is discarded before the
            reply, so that the stream ends without a reset. A reply that can't
            be delivered is given up some time after the disconnect.
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

    async def _read_chunks(
        self, reservation: Reservation, max_bytes: int
    ) -> None:
        """Reads the body and reserves memory chunk by chunk."""
        pieces = [bytearray()]
        size_bytes = 0
        while not self._body_read:
            chunk = await self._receive_chunk()
            reservation.grow(len(chunk))
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                raise BodyTooLargeError(_size_finding(size_bytes, max_bytes))
            _append(pieces, chunk)
        self._body = b''.join(pieces)

    async def _receive_chunk(self) -> bytes:
        message = await self._receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError('disconnect within the body')
        self._body_read = not message.get('more_body', False)
        return message.get('body', b'')

    def _check_content_length(self, max_bytes: int) -> None:
        """Rejects a body by its declared length, before any of it is read."""
        for text in self.header_values('content-length'):
            if text.isdecimal() and int(text) > max_bytes:
                raise BodyTooLargeError(_size_finding(int(text), max_bytes))

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


def _append(pieces: list[bytearray], chunk: bytes) -> None:
    """Appends a chunk of a body to its pieces.

    Explanation:
        Pieces of about the same size leave no gaps in the memory, as bodies
        that grow side by side would.
    """
    if len(pieces[-1]) + len(chunk) > PIECE_BYTES:
        pieces.append(bytearray())
    pieces[-1] += chunk


def _size_finding(size_bytes: int, max_bytes: int) -> str:
    """Returns the finding about a body that is too large."""
    return f'must be up to {max_bytes} bytes, got {size_bytes}'


def _raw_path(scope: Scope) -> str:
    """Returns the path as it was sent, if the server provides that."""
    raw_path = scope.get('raw_path') or scope['path'].encode('utf-8')
    return raw_path.decode('latin-1')
