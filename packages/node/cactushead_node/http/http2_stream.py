"""One request of an HTTP/2 connection, and its ASGI scope."""

from urllib.parse import unquote

import trio

from ..holdings import Holding
from .asgi import Scope
from .guard import ConnectionGuard

Headers = list[tuple[bytes, bytes]]


class Http2Stream:
    """A request with its reply.

    Attributes:
        stream_id: Number of the stream.
        headers: Headers of the request, by name.
        scope: Ends the application's task when it is cancelled.
        body: What was received of the body and not taken yet.
        unacknowledged_bytes: Bytes of the window that the body takes.
        complete: Whether the whole request was received.
        delivered: Whether the application has taken the whole request.
        gone: Whether the client has reset the stream.
        replied: Whether the reply is complete.
        head: Headers of the reply.
        changed: Is set when one of these has changed.
        holding: Place of the stream among all.
        reply: What the reply holds until it is taken.
    """

    def __init__(
        self,
        stream_id: int,
        headers: Headers,
        guard: ConnectionGuard,
    ) -> None:
        """Creates a stream whose request's head was received."""
        self.stream_id = stream_id
        self.headers = headers
        self.scope = trio.CancelScope()
        self.body = bytearray()
        self.unacknowledged_bytes = 0
        self.complete = False
        self.delivered = False
        self.gone = False
        self.replied = False
        self.head: Headers = []
        self.changed = trio.Event()
        self.holding = Holding(guard.streams, self.scope.cancel)
        self.reply = Holding(guard.replies, self.scope.cancel)

    @property
    def is_handled(self) -> bool:
        """Whether the application has the request and hasn't replied."""
        return self.delivered and not self.head

    def notify(self) -> None:
        """Wakes the task that waits for a change."""
        self.changed.set()
        self.changed = trio.Event()


def make_scope(headers: Headers) -> Scope:
    """Returns the scope of a request from its headers.

    Args:
        headers: Headers of the request, pseudo headers among them.
    """
    pseudo = {name: text for name, text in headers if name.startswith(b':')}
    fields = [pair for pair in headers if not pair[0].startswith(b':')]
    if b':authority' in pseudo and not any(
        name == b'host' for name, _ in fields
    ):
        fields.append((b'host', pseudo[b':authority']))
    target = pseudo.get(b':path', b'/')
    raw_path, _, query = target.partition(b'?')
    return {
        'type': 'http',
        'http_version': '2',
        'method': pseudo.get(b':method', b'').decode('latin-1'),
        'path': unquote(raw_path.decode('latin-1')),
        'raw_path': raw_path,
        'query_string': query,
        'headers': fields,
    }
