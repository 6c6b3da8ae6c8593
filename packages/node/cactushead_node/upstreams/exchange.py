"""One HTTP exchange with an upstream, and what is sure about it.

Explanation:
    Whether a task may have started turns on one fact: whether any byte of
    its request was written. `httpcore` calls a trace hook right before it
    writes, and that call is what `Exchange.written` records.

    An idle connection that the upstream closed is seen as readable and is
    dropped by the pool before anything is written, so the request goes out
    on a new connection. When the close arrives only after that check,
    `httpcore` swallows the error of the write and raises
    `RemoteProtocolError` or `ReadError` from reading the response: after
    writing. Connections that were idle for `KEEPALIVE_S` are not used again,
    well before usual servers close them.
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
    """An exchange that the agent itself gave up."""


class StartTooLateError(ExchangeError):
    """The time until which the request may be written is over."""


class AnswerTooLargeError(ExchangeError):
    """The upstream's answer is larger than the agent passes on."""


EXCHANGE_ERRORS = (
    ExchangeError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of a response.

    Attributes:
        status: HTTP status.
        body: The body.
    """

    status: int
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return SUCCESS_STATUS_MIN <= self.status < REDIRECT_STATUS_MIN


@dataclass(slots=True)
class Exchange:
    """One request to the upstream.

    Attributes:
        method: HTTP method.
        url: URL.
        headers: Request headers.
        body: Request body.
        write_by_s: Monotonic time after which nothing may be written.
        written: Whether any byte may have been written.
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
        """Sends the request and reads the whole response.

        Args:
            pool: Connections to the upstream.
            now: Monotonic clock.

        Returns:
            The response.

        Raises:
            StartTooLateError: `write_by_s` passed before the first byte.
            AnswerTooLargeError: The response is too large.
            httpcore.NetworkError: The connection failed.
            httpcore.ProtocolError: The connection ended early, or the
                response is no HTTP.
            httpcore.TimeoutException: Connecting took too long.
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
        if now_s > self.write_by_s:
            raise StartTooLateError(
                f'{now_s - self.write_by_s:.3f} s after the end of the lease',
            )
        self.written = True


async def _read_body(response: httpcore.Response) -> bytes:
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
