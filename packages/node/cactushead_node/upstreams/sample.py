"""Sample upstream: returns the value of its input after a sleep."""

import json
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import trio

RUN_PATH = '/run'
HEALTH_PATHS = ('/health', '/healthz')
MAX_SLEEP_MS = 600_000
MAX_INPUT_BYTES = 4 * 1024 * 1024
MS_PER_S = 1000

OK = 200
NO_CONTENT = 204
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
SERVER_ERROR = 500

_Scope = Mapping[str, Any]
_Receive = Callable[[], Awaitable[Mapping[str, Any]]]
_Send = Callable[[Mapping[str, Any]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class SampleInput:
    """Input of a task of the sample upstream.

    Attributes:
        value: Value to return.
        sleep_ms: Duration of the task.
        fail: Whether the task fails.
    """

    value: Any
    sleep_ms: float = 0.0
    fail: bool = False


@dataclass(frozen=True, slots=True)
class StartLine:
    """Line of the starts file; records one start of a task.

    Attributes:
        task_id: Id of the task.
        service: Name of the service.
        job_key: Idempotency key of the caller.
        task_index: Index of the task in its job.
        time_s: Wall-clock time of the start.
    """

    task_id: str
    service: str
    job_key: str
    task_index: int
    time_s: float


def parse_input(body: bytes) -> SampleInput:
    """Parses and validates the input of a task.

    Examples:
        >>> parse_input(b'{"value": [1], "sleep_ms": 5}')
        SampleInput(value=[1], sleep_ms=5.0, fail=False)

    Args:
        body: JSON text.

    Returns:
        The input.

    Raises:
        ValueError: The input is invalid.
    """
    fields = json.loads(body)
    if not isinstance(fields, dict) or 'value' not in fields:
        raise ValueError(f'expected an object with a value, got {body!r:.80}')
    fail = fields.get('fail', False)
    if not isinstance(fail, bool):
        raise ValueError(f'fail must be true or false, got {fail!r:.80}')
    sleep_ms = _parse_sleep_ms(fields.get('sleep_ms', 0))
    return SampleInput(fields['value'], sleep_ms, fail)


def _parse_sleep_ms(sleep_ms: Any) -> float:
    if isinstance(sleep_ms, bool) or not isinstance(sleep_ms, int | float):
        raise ValueError(f'sleep_ms must be a number, got {sleep_ms!r:.80}')
    # The comparison is false for NaN, which the JSON parser accepts.
    if not 0 <= sleep_ms <= MAX_SLEEP_MS:
        raise ValueError(f'sleep_ms is out of range: {sleep_ms!r}')
    return float(sleep_ms)


class SampleUpstream:
    """ASGI application of the sample upstream.

    Explanation:
        It runs all requested tasks, without a concurrency limit. With a
        starts file, a line is written before a task does any work.

    Attributes:
        running: Number of tasks that are running.
        peak_running: Maximum number of tasks that ran at the same time.
    """

    def __init__(self, starts_file: Path | None = None) -> None:
        """Creates an upstream without running tasks.

        Args:
            starts_file: File to which one line per start is appended.
        """
        self.peak_running = 0
        self._scopes: dict[str, trio.CancelScope] = {}
        self._starts_log = None
        if starts_file is not None:
            starts_file.parent.mkdir(parents=True, exist_ok=True)
            self._starts_log = starts_file.open('a', encoding='utf-8')

    @property
    def running(self) -> int:
        """Number of tasks that are running."""
        return len(self._scopes)

    async def __call__(
        self,
        scope: _Scope,
        receive: _Receive,
        send: _Send,
    ) -> None:
        """Serves one ASGI scope.

        Args:
            scope: Scope of the connection or of the lifespan.
            receive: Receives the next message from the server.
            send: Sends a message to the server.
        """
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        status, content = await self._route(scope, receive)
        await _respond(send, status, content)

    async def _route(
        self,
        scope: _Scope,
        receive: _Receive,
    ) -> tuple[int, Any]:
        """Returns the status and content of the response to a request."""
        method = scope['method']
        path = scope['raw_path'].decode('ascii')
        if method == 'GET' and path in HEALTH_PATHS:
            return OK, {'running': self.running}
        if method == 'POST' and path == RUN_PATH:
            return await self._run(_read_headers(scope), receive)
        if method == 'DELETE' and path.startswith(f'{RUN_PATH}/'):
            return self._stop(unquote(path.removeprefix(f'{RUN_PATH}/')))
        return NOT_FOUND, {'error': f'no {method} {path}'}

    async def _run(
        self,
        headers: Mapping[str, str],
        receive: _Receive,
    ) -> tuple[int, Any]:
        """Records the start of a task and runs it if its input is valid."""
        body = await _read_body(receive)
        if body is None:
            return TOO_LARGE, {'error': f'over {MAX_INPUT_BYTES} bytes'}
        task_id = headers.get('idempotency-key', '')
        self._record_start(task_id, headers)
        try:
            task = parse_input(body)
        except ValueError as error:
            return BAD_REQUEST, {'error': str(error)}
        return await self._run_input(task_id, task)

    async def _run_input(
        self,
        task_id: str,
        task: SampleInput,
    ) -> tuple[int, Any]:
        """Sleeps as the input requests, unless the task is stopped."""
        run_scope = trio.CancelScope()
        self._scopes[task_id] = run_scope
        self.peak_running = max(self.peak_running, self.running)
        try:
            with run_scope:
                await trio.sleep(task.sleep_ms / MS_PER_S)
        finally:
            if self._scopes.get(task_id) is run_scope:
                self._scopes.pop(task_id)
        if run_scope.cancelled_caught:
            return CONFLICT, {'error': 'stopped'}
        if task.fail:
            return SERVER_ERROR, {'error': 'failed as asked'}
        return OK, task.value

    def _stop(self, task_id: str) -> tuple[int, Any]:
        """Stops a running task."""
        run_scope = self._scopes.get(task_id)
        if run_scope is None:
            return NOT_FOUND, {'error': f'{task_id} does not run'}
        run_scope.cancel()
        return NO_CONTENT, None

    def _record_start(self, task_id: str, headers: Mapping[str, str]) -> None:
        """Appends a line to the starts file, if there is one."""
        if self._starts_log is None:
            return
        line = StartLine(
            task_id,
            headers.get('x-cactushead-service', ''),
            headers.get('x-cactushead-job-key', ''),
            int(headers.get('x-cactushead-task-index', '-1')),
            time.time(),
        )
        self._starts_log.write(f'{json.dumps(asdict(line))}\n')
        self._starts_log.flush()


async def _serve_lifespan(receive: _Receive, send: _Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


def _read_headers(scope: _Scope) -> dict[str, str]:
    return {
        name.decode('ascii').lower(): text.decode('utf-8', 'replace')
        for name, text in scope['headers']
    }


async def _read_body(receive: _Receive) -> bytes | None:
    """Returns the request body, None if it is too large."""
    body = bytearray()
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        if len(body) > MAX_INPUT_BYTES:
            return None
        more = message.get('more_body', False)
    return bytes(body)


async def _respond(send: _Send, status: int, content: Any) -> None:
    body = b'' if status == NO_CONTENT else json.dumps(content).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})
