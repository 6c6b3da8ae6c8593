"""Sending of HTTP requests to entries."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import httpcore

from .errors import EntryUnreachableError, RequestInterruptedError

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 512
KEEPALIVE_EXPIRY_S = 20.0

# Errors raised before any byte of the request is sent.
_CONNECTION_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
# Errors raised when the entry may already have received the request.
_INTERRUPTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request without the address of its destination.

    Attributes:
        method: HTTP method.
        path: Path with the query.
        body: JSON text, empty for none.
        headers: Pairs of header name and value.
        timeout_s: Time-out of the response.
    """

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 10.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response of an entry.

    Attributes:
        status: HTTP status.
        body: The response body.
        retry_after_s: Seconds of the header `Retry-After`; 0 if the header is
            absent or not a number.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0


class Transport(ABC):
    """Sends HTTP requests to entries."""

    async def send(self, entry: str, request: HttpRequest) -> HttpResponse:
        """Sends a request to an entry, without retries.

        Args:
            entry: Address of the entry, such as `http://127.0.0.1:8470`.
            request: The request.

        Raises:
            EntryUnreachableError: If the request was not sent.
            RequestInterruptedError: If no response was received and the entry
                may have received the request.
        """
        return await self._send(entry.rstrip('/'), request)

    @abstractmethod
    async def _send(self, entry: str, request: HttpRequest) -> HttpResponse:
        """Sends a request to an address without a trailing slash."""


class HttpcoreTransport(Transport):
    """Transport over a pool of TCP connections, without retries."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        """Creates the transport with an empty pool.

        Args:
            max_connections: Limit of open connections to all entries.
        """
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            retries=0,
        )

    async def _send(self, entry: str, request: HttpRequest) -> HttpResponse:
        headers = [(b'Content-Type', b'application/json')]
        headers.extend(
            (name.encode(), text.encode()) for name, text in request.headers
        )
        try:
            response = await self._pool.request(
                request.method,
                f'{entry}{request.path}',
                headers=headers,
                content=request.body,
                extensions={'timeout': _httpcore_timeouts(request.timeout_s)},
            )
        except _CONNECTION_ERRORS as error:
            raise EntryUnreachableError(
                entry, _describe_error(error)
            ) from error
        except _INTERRUPTION_ERRORS as error:
            raise RequestInterruptedError(
                entry, _describe_error(error)
            ) from error
        return HttpResponse(
            response.status,
            response.content,
            _parse_retry_after_s(response),
        )


def _httpcore_timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': min(CONNECT_TIMEOUT_S, timeout_s),
        'pool': timeout_s,
        'read': timeout_s,
        'write': timeout_s,
    }


def _describe_error(error: Exception) -> str:
    text = str(error)
    name = type(error).__name__
    return f'{name}: {text}' if text else name


def _parse_retry_after_s(response: httpcore.Response) -> float:
    for name, text in response.headers:
        if name.lower() == b'retry-after':
            try:
                return float(text)
            except ValueError:
                return 0.0
    return 0.0
