"""One HTTP exchange with one entry."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import httpcore

from .errors import EntryUnreachableError, RequestInterruptedError

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 512
KEEPALIVE_S = 20.0

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request, without the address that it goes to.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: JSON text, empty for none.
        headers: Header names and values.
        timeout_s: Longest wait for the answer.
    """

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 10.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An entry's answer.

    Attributes:
        status: HTTP status.
        body: The body.
        retry_after_s: The header `Retry-After`, 0 if absent.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0


class Transport(ABC):
    """Carries requests to entries."""

    async def send(self, entry: str, call: HttpRequest) -> HttpResponse:
        """Sends one request to one entry, once.

        Args:
            entry: Address of the entry, such as `http://127.0.0.1:8470`.
            call: The request.

        Raises:
            EntryUnreachableError: If the request was surely not sent.
            RequestInterruptedError: If it may have arrived without an answer.
        """
        return await self._send(entry.rstrip('/'), call)

    @abstractmethod
    async def _send(self, entry: str, call: HttpRequest) -> HttpResponse:
        """Sends one request."""


class HttpcoreTransport(Transport):
    """Transport over a pool of TCP connections; never retries by itself."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        """Makes an empty pool.

        Args:
            max_connections: Connections open at once over all entries.
        """
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEPALIVE_S,
            retries=0,
        )

    async def _send(self, entry: str, call: HttpRequest) -> HttpResponse:
        headers = [(b'Content-Type', b'application/json')]
        headers.extend(
            (name.encode(), text.encode()) for name, text in call.headers
        )
        try:
            reply = await self._pool.request(
                call.method,
                f'{entry}{call.path}',
                headers=headers,
                content=call.body,
                extensions={'timeout': _timeouts(call.timeout_s)},
            )
        except _NOT_SENT as error:
            raise EntryUnreachableError(entry, _describe(error)) from error
        except _BROKEN as error:
            raise RequestInterruptedError(entry, _describe(error)) from error
        return HttpResponse(reply.status, reply.content, _retry_after_s(reply))


def _timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': min(CONNECT_TIMEOUT_S, timeout_s),
        'pool': timeout_s,
        'read': timeout_s,
        'write': timeout_s,
    }


def _describe(error: Exception) -> str:
    text = str(error)
    name = type(error).__name__
    return f'{name}: {text}' if text else name


def _retry_after_s(reply: httpcore.Response) -> float:
    for name, text in reply.headers:
        if name.lower() == b'retry-after':
            try:
                return float(text)
            except ValueError:
                return 0.0
    return 0.0
