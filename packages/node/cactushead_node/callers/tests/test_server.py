"""Tests of the HTTP interface over real connections."""

import json
import logging
from contextlib import asynccontextmanager

import h2.config
import h2.connection
import h2.events
import httpcore
import pytest
import trio
import trio.testing
from cactushead_core.effects import AnswerResponse
from cactushead_core.jobs import JobAnswer, JobState

from cactushead_node.callers import RequestPort, make_app
from cactushead_node.http import MAX_BODY_BYTES, serve_http
from cactushead_node.http.stream import WriteTimeoutStream

from .client import ANSWER, JOB, FakeRequests, FakeStatus

JOBS = '/v1/services/sample/jobs'
HEADERS = {'Idempotency-Key': 'k1'}
BODY = json.dumps(
    {
        'caller': 'crew',
        'kind': 'echo',
        'deadline_s': 5,
        'tasks': [{'input': 1}],
    },
).encode()


class BlockingRequests(RequestPort):
    """Blocks requests until the test releases them."""

    def __init__(self):
        self.waiting = trio.Event()
        self.released = trio.Event()
        self.cancelled = trio.Event()

    async def request(self, make_event):
        self.waiting.set()
        try:
            await self.released.wait()
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return ANSWER


@asynccontextmanager
async def serving(requests, drain_s=5):
    """Yields the server's port and the event that shuts it down."""
    stop = trio.Event()
    app = make_app(requests, FakeStatus())

    async def serve(task_status):
        await serve_http(
            app,
            '127.0.0.1',
            0,
            shutdown_trigger=stop.wait,
            drain_s=drain_s,
            task_status=task_status,
        )

    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            yield await nursery.start(serve), stop
            stop.set()


@pytest.mark.parametrize('http2', [False, True])
def test_request_over_both_http_versions(http2):
    async def run():
        async with serving(FakeRequests()) as (port, _):
            pool = httpcore.AsyncConnectionPool(http1=not http2, http2=http2)
            async with pool:
                reply = await pool.request(
                    'POST',
                    f'http://127.0.0.1:{port}{JOBS}',
                    headers=HEADERS,
                    content=BODY,
                )
        assert reply.status == 200
        assert json.loads(reply.content)['results'] == [1, 2.5]

    trio.run(run)


def test_request_in_flight_is_completed_during_shutdown():
    async def run():
        requests = BlockingRequests()
        replies = []

        async def post(port):
            async with httpcore.AsyncConnectionPool() as pool:
                replies.append(
                    await pool.request(
                        'POST',
                        f'http://127.0.0.1:{port}{JOBS}',
                        headers=HEADERS,
                        content=BODY,
                    ),
                )

        async with (
            serving(requests) as (port, stop),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(post, port)
            await requests.waiting.wait()
            stop.set()
            await trio.testing.wait_all_tasks_blocked()
            requests.released.set()
        assert [reply.status for reply in replies] == [200]

    trio.run(run)


def test_idle_connection_does_not_delay_the_shutdown():
    async def run():
        with trio.fail_after(2):
            async with serving(FakeRequests(), drain_s=60) as (port, stop):
                stream = await trio.open_tcp_stream('127.0.0.1', port)
                await stream.send_all(
                    b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'
                )
                assert b' 200 ' in await stream.receive_some()
                stop.set()

    trio.run(run)


def test_disconnect_cancels_the_request_over_tcp():
    async def run():
        requests = BlockingRequests()
        async with serving(requests) as (port, _):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(_request_head(len(BODY)) + BODY)
            await requests.waiting.wait()
            await stream.aclose()
            await requests.cancelled.wait()

    trio.run(run)


def test_oversize_body_in_many_chunks_is_refused():
    async def run():
        async with serving(FakeRequests()) as (port, _):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            head = f'POST {JOBS} HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n'
            head += 'Transfer-Encoding: chunked\r\n\r\n'
            await stream.send_all(head.encode())
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_send_chunks, stream)
                    assert b' 413 ' in await stream.receive_some()
                    scope.cancel()

    trio.run(run)


def test_caller_that_does_not_read_does_not_block_the_shutdown(monkeypatch):
    monkeypatch.setattr(WriteTimeoutStream.__init__, '__defaults__', (0.2,))
    large = JobAnswer(JOB, JobState.COMPLETE, (b'1' * 20_000_000,))

    async def run():
        requests = FakeRequests(AnswerResponse(large))
        async with serving(requests, drain_s=0.1) as (port, stop):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(_request_head(len(BODY)) + BODY)
            await stream.receive_some(100)
            stop.set()

    trio.run(run)


@pytest.mark.parametrize(
    'sent',
    [
        b'\xff\xfe\x00\r\n\r\n',
        b'GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n',
        b'GET / HTTP/1.1\r\n' + b'X: ' + b'a' * 100_000,
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + b'\xff' * 100,
        b'GET /v1/metrics HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n'
        b'Upgrade: websocket\r\n\r\n',
    ],
)
def test_malformed_request_does_not_affect_other_connections(sent, caplog):
    async def run():
        async with serving(FakeRequests()) as (port, _):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(sent)
            with trio.move_on_after(0.2):
                await stream.receive_some()
            await stream.aclose()
            await _check_health(port)

    with caplog.at_level(logging.ERROR):
        trio.run(run)


@pytest.mark.parametrize('path', [b'/caf\xc3\xa9', b'', b'*', b'/%zz?\xff'])
def test_malformed_http2_path_does_not_affect_other_connections(path):
    async def run():
        async with serving(FakeRequests()) as (port, _):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(_http2_request(path))
            with trio.move_on_after(0.2):
                await stream.receive_some()
            await stream.aclose()
            await _check_health(port)

    trio.run(run)


def test_oversize_body_over_http2_leaves_the_connection_usable():
    async def run():
        async with serving(FakeRequests()) as (port, _):
            pool = httpcore.AsyncConnectionPool(
                http1=False,
                http2=True,
                max_connections=1,
            )
            url = f'http://127.0.0.1:{port}{JOBS}'
            body = b' ' * (MAX_BODY_BYTES + 1)
            async with pool:
                refused = await pool.request(
                    'POST',
                    url,
                    headers=HEADERS,
                    content=body,
                )
                served = await pool.request(
                    'POST',
                    url,
                    headers=HEADERS,
                    content=BODY,
                )
        assert (refused.status, served.status) == (413, 200)

    trio.run(run)


async def _check_health(port):
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request('GET', f'http://127.0.0.1:{port}/healthz')
    assert reply.status == 200


async def _send_chunks(stream):
    chunk = b'10000\r\n' + b' ' * 0x10000 + b'\r\n'
    try:
        for _ in range(2 * MAX_BODY_BYTES // 0x10000):
            await stream.send_all(chunk)
    except trio.BrokenResourceError:
        await trio.sleep_forever()


def _request_head(size):
    head = f'POST {JOBS} HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n'
    return f'{head}Content-Length: {size}\r\n\r\n'.encode()


def _http2_request(path):
    config = h2.config.H2Configuration(
        validate_outbound_headers=False,
        normalize_outbound_headers=False,
    )
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    fields = [
        (b':method', b'GET'),
        (b':path', path),
        (b':scheme', b'http'),
        (b':authority', b'a'),
    ]
    connection.send_headers(1, fields, end_stream=True)
    return connection.data_to_send()
