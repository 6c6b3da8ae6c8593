"""One HTTP exchange over the ASGI interface."""

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any, TypeVar

import trio

from .budget import MAX_BODY_BYTES, BodyBudget, Reservation
from .errors import BodyTimeoutError, BodyTooLargeError, CallerDisconnectedError
from .reply import Reply

BODY_TIMEOUT_S = 30.0
CLOSE_GRACE_S = 1.0

# ASGI describes scopes and messages as mappings.
Scope = MutableMapping[str, Any]
AsgiMessage = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
SendMessage = Callable[[AsgiMessage], Awaitable[None]]

_Outcome = TypeVar('_Outcome')


class Exchange:
    """Reads one request and writes its reply."""

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: SendMessage,
    ) -> None:
        """Starts an exchange.

        Args:
            scope: The ASGI scope of type `http`.
            receive: Gives the next message of the request.
            send: Takes the next message of the reply.
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
        """Reads the whole body.

        Args:
            budget: Memory for the bodies that are being read.

        Raises:
            BodyBudgetError: Other bodies take all memory.
            BodyTooLargeError: It is larger than the limit; the rest of it is
                not read.
            CallerDisconnectedError: The caller hung up.
            BodyTimeoutError: The body didn't arrive in time.
        """
        self._check_length()
        with trio.move_on_after(BODY_TIMEOUT_S), budget.reserve() as reserved:
            await self._read_chunks(reserved)
        if not self._body_read:
            raise BodyTimeoutError(f'no whole body in {BODY_TIMEOUT_S} s')

    def take_body(self) -> bytes:
        """Returns the body and keeps it no longer."""
        body = self._body
        self._body = b''
        return body

    async def run_until_disconnect(
        self,
        wait: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        """Waits for something while the caller stays.

        Explanation:
            The body must have been read, since further messages are dropped.

        Args:
            wait: What to wait for; it is cancelled when the caller hangs up.

        Raises:
            CallerDisconnectedError: The caller hung up.
        """
        outcomes: list[_Outcome] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_gone, nursery.cancel_scope)
            outcomes.append(await wait())
            nursery.cancel_scope.cancel()
        if not outcomes:
            raise CallerDisconnectedError('caller hung up while it waited')
        return outcomes[0]

    async def send(self, reply: Reply) -> None:
        """Sends the reply.

        Explanation:
            The server queues only some chunks of a body and then blocks, so
            the rest of a body that was refused half read is dropped while
            the reply is sent. Over HTTP/2 it is dropped before: hypercorn
            ends the connection, with all its other requests, when a body
            goes on after the reply. It also never ends a reply over HTTP/2
            that can't be sent any more, so such a reply is cancelled.
        """
        if self._body_read and not self._http2:
            await self._send_reply(reply)
            return
        if self._http2:
            with trio.move_on_after(BODY_TIMEOUT_S):
                await self._skip_body()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_late, nursery.cancel_scope)
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

    async def _read_chunks(self, reserved: Reservation) -> None:
        chunks: list[bytes] = []
        size_bytes = 0
        while not self._body_read:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError('caller hung up in its request')
            chunk = message.get('body', b'')
            size_bytes += len(chunk)
            if size_bytes > MAX_BODY_BYTES:
                raise BodyTooLargeError(_size_rule(size_bytes))
            reserved.grow(len(chunk))
            chunks.append(chunk)
            self._body_read = not message.get('more_body', False)
        self._body = b''.join(chunks)

    def _check_length(self) -> None:
        for text in self.header_values('content-length'):
            if text.isdecimal() and int(text) > MAX_BODY_BYTES:
                raise BodyTooLargeError(_size_rule(int(text)))

    async def _cancel_when_gone(self, scope: trio.CancelScope) -> None:
        await self._drop_messages()
        scope.cancel()

    async def _cancel_late(self, scope: trio.CancelScope) -> None:
        await self._drop_messages()
        # The end of a reply that was sent whole looks the same from here.
        await trio.sleep(CLOSE_GRACE_S)
        scope.cancel()

    async def _skip_body(self) -> None:
        while not self._body_read:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError(
                    'caller hung up in a refused request'
                )
            self._body_read = not message.get('more_body', False)

    async def _drop_messages(self) -> None:
        message_type = ''
        while message_type != 'http.disconnect':
            message = await self._receive()
            message_type = message['type']


def _size_rule(size_bytes: int) -> str:
    return f'must be up to {MAX_BODY_BYTES} bytes, got {size_bytes}'


def _raw_path(scope: Scope) -> str:
    raw_path = scope.get('raw_path') or scope['path'].encode('utf-8')
    return raw_path.decode('latin-1')
