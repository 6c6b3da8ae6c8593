"""HTTP exchange with an upstream that tracks whether it was written.

Explanation:
    A task may have started if and only if any byte of its request was
    written. `httpcore` calls a trace hook immediately before it writes;
    `Exchange.written` records that call.

    An idle connection that the upstream has closed is readable; the pool
    detects that and drops it before anything is written, so the request is
    sent on a new connection. If the close arrives after that check,
    `httpcore` suppresses the write error and raises `RemoteProtocolError` or
    `ReadError` when it reads the response, that is, after writing.
    Connections that were idle for `KEEPALIVE_S` are not reused; this is well
    before common servers close them.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import httpcore
import trio
from cactushead_core.errors import CactusheadError

from ..ports import Clock

KEEPALIVE_S = 2.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024

_WRITE_STARTED = 'http11.send_request_headers.started'
SUCCESS_STATUS_MIN = 200
REDIRECT_STATUS_MIN = 300


class ExchangeError(CactusheadError):
    """The agent aborted an exchange."""


class StartTooLateError(ExchangeError):
    """The request was not written before its deadline."""


class AnswerTooLargeError(ExchangeError):
    """The response exceeds the maximum size that the agent forwards."""


EXCHANGE_ERRORS = (
    ExchangeError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """HTTP response of an upstream.

    Attributes:
        status: HTTP status code.
        body: Response body.
    """

    status: int
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Whether the status code is 2xx."""
        return SUCCESS_STATUS_MIN <= self.status < REDIRECT_STATUS_MIN


@dataclass(slots=True)
class Exchange:
    """Request to an upstream.

    Attributes:
        method: HTTP method.
        url: Request URL.
        headers: Request headers.
        body: Request body.
        write_by_s: Monotonic time after which the request may not be written.
        written: Whether any byte of the request may have been written.
    """

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    write_by_s: float = float('inf')
    written: bool = False

    async def perform(
        self,
        pool: httpcore.AsyncConnectionPool,
        now: Clock,
    ) -> HttpResponse:
        """Sends the request and reads the complete response.

        Args:
            pool: Connection pool of the upstream.
            now: Monotonic clock, in seconds.

        Returns:
            The response.

        Raises:
            StartTooLateError: `write_by_s` passed before the first byte.
            AnswerTooLargeError: The response exceeds `MAX_RESPONSE_BYTES`.
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The connection was closed early, or the
                response is not valid HTTP.
            httpcore.TimeoutException: Connecting timed out.
        """

        async def trace(name: str, _details: Mapping[str, Any]) -> None:
            await trio.lowlevel.checkpoint_if_cancelled()
            if name == _WRITE_STARTED:
                self._record_write(now())

        async with pool.stream(
            self.method,
            self.url,
            headers=_encode_headers(self.headers),
            content=self.body,
            extensions={'trace': trace},
        ) as response:
            body = await _read_body(response)
            return HttpResponse(response.status, body)

    def _record_write(self, now_s: float) -> None:
        """Records that the request is being written.

        Raises:
            StartTooLateError: The request may not be written any more.
        """
        if now_s > self.write_by_s:
            raise StartTooLateError(
                f'{now_s - self.write_by_s:.3f} s after the end of the lease',
            )
        self.written = True


async def _read_body(response: httpcore.Response) -> bytes:
    """Reads the body of a response, up to `MAX_RESPONSE_BYTES`."""
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in response.aiter_stream():
        size_bytes += len(chunk)
        if size_bytes > MAX_RESPONSE_BYTES:
            raise AnswerTooLargeError(
                f'answer is larger than {MAX_RESPONSE_BYTES} bytes',
            )
        chunks.append(chunk)
    return b''.join(chunks)


def _encode_headers(
    headers: Mapping[str, str],
) -> Sequence[tuple[bytes, bytes]]:
    return [
        (name.encode('ascii'), text.encode('utf-8'))
        for name, text in headers.items()
    ]
