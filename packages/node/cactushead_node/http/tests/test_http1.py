"""HTTP/1.1 as clients of different kinds speak it."""

from functools import partial
from http import HTTPStatus

import pytest
import trio
from cactushead_node.http import (
    BodyBudget,
    CallerDisconnectedError,
    Exchange,
    Reply,
    serve_http,
)
from h2.events import StreamEnded

from .test_limits import Http2Client

HOST = '127.0.0.1'
POST = b'POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}'
CLOSE = b'Connection: close\r\n'
# More than the buffers of a connection on loopback take.
LARGE_BYTES = 16_000_000
SLOW_READ_S = 1.5


class Echo:
    """Replies with method, path, query and body; on `/unread` without it."""

    def __init__(self):
        self.released = trio.Event()
        self.released.set()

    async def __call__(self, scope, receive, send):
        exchange = Exchange(scope, receive, send)
        if not exchange.raw_path.startswith('/unread'):
            try:
                await exchange.read_body(BodyBudget())
            except CallerDisconnectedError:
                return
        body = exchange.take_body()
        await self.released.wait()
        path = exchange.raw_path.partition('?')[0].encode()
        text = b'<%b %b %b>' % (exchange.method.encode(), path, body)
        if exchange.query == 'large':
            text += bytes(LARGE_BYTES)
        await exchange.send(Reply(HTTPStatus.OK, text))


def run(test):
    async def main():
        stop = trio.Event()
        app = Echo()
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(
                    partial(
                        serve_http,
                        app,
                        HOST,
                        0,
                        shutdown_trigger=stop.wait,
                        drain_s=2.0,
                    )
                )
                await test(partial(trio.open_tcp_stream, HOST, port), app, stop)
                stop.set()

    trio.run(main)


async def read_until(stream, end):
    received = b''
    while end not in received:
        data = await stream.receive_some(65536)
        if not data:
            break
        received += data
    return received


# Guards against a request that isn't understood because of how its bytes
# arrive, or how its body is framed.
@pytest.mark.parametrize(
    'request_bytes',
    [
        POST,
        b'POST /echo HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}',
        b'POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'1\r\n{\r\n1\r\n}\r\n0\r\n\r\n',
        b'POST /echo HTTP/1.1\r\nhOST: h\r\ncontent-LENGTH: 2\r\n'
        + CLOSE
        + b'\r\n{}',
    ],
    ids=['length', 'version 1.0', 'chunks', 'close'],
)
@pytest.mark.parametrize('piece_bytes', [1, 7, 1000])
def test_request_is_read_in_any_pieces(request_bytes, piece_bytes):
    async def send(connect, app, stop):
        async with await connect() as stream:
            for start in range(0, len(request_bytes), piece_bytes):
                await stream.send_all(
                    request_bytes[start : start + piece_bytes]
                )
                await trio.lowlevel.checkpoint()
            reply = await read_until(stream, b'>')
        assert reply.startswith(b'HTTP/1.1 200 ')
        assert reply.endswith(b'<POST /echo {}>')

    run(send)


# Guards against a body in the reply to a HEAD request, which the client would
# take for the next reply.
def test_reply_to_head_has_no_body():
    async def send(connect, app, stop):
        async with await connect() as stream:
            await stream.send_all(b'HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n' + POST)
            reply = await read_until(stream, b'{}>')
        assert reply.count(b'HTTP/1.1 200') == 2
        assert b'<HEAD' not in reply

    run(send)


# Guards against a client that waits for the permission to send its body.
def test_client_is_told_to_send_its_body():
    async def send(connect, app, stop):
        head = POST[:-4] + b'Expect: 100-continue\r\n\r\n'
        async with await connect() as stream:
            await stream.send_all(head)
            assert b' 100 ' in await read_until(stream, b'\r\n\r\n')
            await stream.send_all(b'{}')
            assert b'<POST /echo {}>' in await read_until(stream, b'>')

    run(send)


# Guards against a connection that can't be used again after a body that was
# not wanted, or takes it for a request.
def test_connection_is_reused_after_a_body_that_was_not_read():
    async def send(connect, app, stop):
        async with await connect() as stream:
            unread = POST.replace(b'/echo', b'/unread')
            await stream.send_all(unread)
            assert b'<POST /unread >' in await read_until(stream, b'>')
            await stream.send_all(POST)
            assert b'<POST /echo {}>' in await read_until(stream, b'>')

    run(send)


# Guards against a large reply that is cut off because its reader is slow, or
# has sent the next request.
@pytest.mark.parametrize('path', [b'/echo', b'/unread'])
@pytest.mark.parametrize('behind', [b'', POST])
def test_slow_reader_gets_its_whole_reply(path, behind):
    async def send(connect, app, stop):
        async with await connect() as stream:
            await stream.send_all(
                b'GET %b?large HTTP/1.1\r\nHost: h\r\n\r\n' % path + behind
            )
            await trio.sleep(SLOW_READ_S)
            received = 0
            while received < LARGE_BYTES:
                data = await stream.receive_some(1_000_000)
                assert data, received
                received += len(data)

    run(send)


# Guards against a reply without the body that it announces, as if it were the
# reply to the request before.
def test_invalid_request_behind_head_is_refused():
    async def send(connect, app, stop):
        async with await connect() as stream:
            await stream.send_all(
                b'HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n?\r\n\r\n'
            )
            reply = await read_until(stream, b'}')
        assert b'HTTP/1.1 400' in reply
        assert reply.endswith(b'}')

    run(send)


# Guards against invalid requests that are handled, or get no reply.
@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (b'GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + bytes(100_000), b'4'),
        (POST.replace(b'2', b'two'), b'400'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'nonsense\r\n',
            b'400',
        ),
    ],
)
def test_invalid_request_is_refused(request_bytes, status):
    async def send(connect, app, stop):
        async with await connect() as stream:
            await stream.send_all(request_bytes)
            reply = await read_until(stream, b'\r\n\r\n')
        assert reply.startswith(b'HTTP/1.1 ' + status)

    run(send)


# Guards against requests that had arrived before the shutdown and get no reply.
def test_requests_that_have_arrived_are_answered_during_the_shutdown():
    async def send(connect, app, stop):
        app.released = trio.Event()
        async with await connect() as stream, await connect() as idle:
            await stream.send_all(POST + POST)
            await trio.sleep(0.05)
            stop.set()
            await trio.sleep(0.05)
            app.released.set()
            reply = await read_until(stream, b'nothing that is sent')
            assert reply.count(b'<POST /echo {}>') == 2
            assert reply.count(b'connection: close') == 1
            assert not await idle.receive_some(1)

    run(send)


# Guards against the same over HTTP/2, and an idle connection that stays open.
def test_streams_are_answered_during_the_shutdown():
    async def send(connect, app, stop):
        app.released = trio.Event()
        busy, idle = Http2Client(await connect()), Http2Client(await connect())
        busy.request('/echo', 1)
        for client in (busy, idle):
            await client.flush()
        await trio.sleep(0.05)
        stop.set()
        assert not await idle.read_until(StreamEnded, 1)
        app.released.set()
        assert await busy.read_until(StreamEnded, 1)
        assert len(await busy.read_until(StreamEnded, 2)) == 1

    run(send)


# Guards against HTTP/2 where it isn't spoken.
def test_http2_can_be_switched_off():
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(
                    partial(
                        serve_http,
                        Echo(),
                        HOST,
                        0,
                        shutdown_trigger=trio.sleep_forever,
                        drain_s=0.0,
                        http2=False,
                    )
                )
                stream = await trio.open_tcp_stream(HOST, port)
                for piece in (b'PR', b'I * HTTP/2.0\r\n\r\nSM\r\n\r\n'):
                    await stream.send_all(piece)
                    await trio.sleep(0.01)
                assert not await stream.receive_some(1)
                nursery.cancel_scope.cancel()

    trio.run(main)
