"""Limits of what connections hold, with one server in this process."""

import json
import logging
from functools import partial
from http import HTTPStatus

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.settings
import pytest
import trio
from cactushead_node.http import (
    BodyError,
    ConnectionGuard,
    HttpApp,
    Reply,
    serve_http,
)
from cactushead_node.http.http1 import Http1Connection
from cactushead_node.settings import ConnectionLimits

HOST = '127.0.0.1'
GET = b'GET %b HTTP/1.1\r\nHost: h\r\n\r\n'
LARGE_REPLY_BYTES = 8_000_000
TIMEOUT_S = 20.0
MANY_STARTS = 4
FIELDS = [(':scheme', 'http'), (':authority', 'h')]


class SampleApp(HttpApp):
    """Waits, echoes the size of a body, or sends a large reply."""

    def __init__(self, guard):
        super().__init__(logging.getLogger('cactushead.sample'))
        self.guard = guard
        self.released = trio.Event()
        self.waiting = 0

    async def _handle_exchange(self, exchange):
        try:
            await exchange.read_body(self.guard.bodies)
        except BodyError as error:
            return Reply(error.status, b'')
        if exchange.raw_path == '/wait':
            self.waiting += 1
            await exchange.run_until_disconnect(self.released.wait)
        if exchange.raw_path == '/large':
            return Reply(HTTPStatus.OK, bytes(LARGE_REPLY_BYTES))
        body = exchange.take_body()
        return Reply(HTTPStatus.OK, json.dumps(len(body)).encode())

    def _internal_error_reply(self):
        return Reply(HTTPStatus.INTERNAL_SERVER_ERROR, b'')


def run(test, **limits):
    """Runs a test with a guard, an app and the port of its server."""

    async def main():
        guard = ConnectionGuard(ConnectionLimits(**limits))
        app = SampleApp(guard)
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(
                    partial(
                        serve_http,
                        app,
                        HOST,
                        0,
                        shutdown_trigger=trio.sleep_forever,
                        drain_s=0.0,
                        guard=guard,
                    )
                )
                await test(
                    guard, app, partial(trio.open_tcp_stream, HOST, port)
                )
                nursery.cancel_scope.cancel()

    trio.run(main)


async def read_until_closed(stream):
    """Returns all bytes until the end, also if it is a reset."""
    received = b''
    try:
        async for data in stream:
            received += data
    except trio.BrokenResourceError:
        return received
    return received


async def status_of(connect, path=b'/', body=None):
    """Sends one request on a new connection; returns the reply's status."""
    async with await connect() as stream:
        request = GET % path
        if body is not None:
            request = (
                b'POST %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
                % (path, len(body))
            )
            request += body
        await stream.send_all(request)
        reply = await stream.receive_some(65536)
    return int(reply.split()[1]) if reply else 0


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.01)


# Guards against new callers that are turned away, or old ones that are cut off
# from a running request, because idle connections take all places.
def test_connection_that_waits_longest_ends_for_a_new_one():
    async def connect_more(guard, app, connect):
        busy = await connect()
        await busy.send_all(GET % b'/wait')
        await wait_until(lambda: app.waiting)
        idle = [await connect() for _ in range(3)]
        await idle[0].send_all(GET % b'/')
        assert await idle[0].receive_some(1000)
        assert await status_of(connect) == 200
        assert await read_until_closed(idle[1]) == b''
        app.released.set()
        assert b' 200 ' in await busy.receive_some(1000)
        await idle[0].send_all(GET % b'/')
        assert b' 200 ' in await idle[0].receive_some(1000)
        assert guard.counters.closed_waiting == 1

    run(connect_more, max_connections=4)


# Guards against a running request that is broken off for a new connection.
def test_new_connection_is_refused_while_all_are_busy():
    async def connect_more(guard, app, connect):
        busy = [await connect() for _ in range(3)]
        for stream in busy:
            await stream.send_all(GET % b'/wait')
        await wait_until(lambda: app.waiting == 3)
        assert await read_until_closed(await connect()) == b''
        assert guard.counters.refused == 1
        app.released.set()
        for stream in busy:
            assert b' 200 ' in await stream.receive_some(1000)

    run(connect_more, max_connections=3)


# Guards against bodies that stay incomplete and exclude those of others.
def test_oldest_incomplete_body_is_given_up():
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n'

    async def send_bodies(guard, app, connect):
        halves = []
        for _ in range(3):
            halves.append(await connect())
            await halves[-1].send_all(head + bytes(4000))
            await wait_until(
                lambda: guard.bodies.used_bytes == 4000 * len(halves)
            )
        assert await status_of(connect, body=bytes(9000)) == 200
        assert b' 503 ' in await read_until_closed(halves[0])
        assert b' 503 ' in await read_until_closed(halves[1])
        await halves[2].send_all(bytes(5000))
        assert b' 200 ' in await halves[2].receive_some(1000)
        assert guard.counters.ended_bodies == 2
        await wait_until(lambda: not guard.bodies.used_bytes)

    run(send_bodies, total_body_bytes=14_000)


# Guards against a body of a running request that isn't counted any more.
def test_body_counts_until_the_reply():
    async def hold(guard, app, connect):
        async with await connect() as stream:
            await stream.send_all(
                b'POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n'
                + bytes(900)
            )
            await wait_until(lambda: app.waiting)
            assert guard.bodies.used_bytes == 900
            assert await status_of(connect, body=bytes(200)) == 503
            app.released.set()
            assert b' 200 ' in await stream.receive_some(1000)
        await wait_until(lambda: not guard.bodies.used_bytes)
        assert await status_of(connect, body=bytes(200)) == 200

    run(hold, total_body_bytes=1000)


# Guards against replies that are kept for those who don't take them, and
# against a slow reader that loses its reply to them.
def test_reply_that_stalls_longest_is_given_up():
    async def stall(guard, app, connect):
        stalled = []
        for _ in range(2):
            stalled.append(await connect())
            await stalled[-1].send_all(GET % b'/large')
            await wait_until(
                lambda: guard.replies.used == 8_000_000 * len(stalled)
            )
        reader = await connect()
        await reader.send_all(GET % b'/large')
        received = 0
        while received < LARGE_REPLY_BYTES:
            received += len(await reader.receive_some(40_000))
            await trio.sleep(0.0005)
        assert guard.counters.closed_replies == 1
        assert len(await read_until_closed(stalled[0])) < LARGE_REPLY_BYTES

    run(stall, total_reply_bytes=20_000_000)


# Guards against a caller that is cut off for what others have sent ahead.
def test_connection_with_most_read_ahead_is_closed():
    async def send_ahead(guard, app, connect):
        streams = []
        for size in (3000, 5000, 1000):
            streams.append(await connect())
            await streams[-1].send_all(GET % b'/wait' + bytes(size))
        await wait_until(lambda: guard.counters.closed_read_ahead)
        assert await read_until_closed(streams[1]) == b''
        assert guard.read_ahead.used == 4000

    run(send_ahead, total_read_ahead_bytes=8000)


class BusyPasses(trio.abc.Instrument):
    """Counts passes of the event loop in which many requests begin.

    Attributes:
        starts: Requests that have begun in this pass.
        count: Number of passes with more than `MANY_STARTS`.
    """

    def __init__(self):
        self.starts = 0
        self.count = 0

    def before_io_wait(self, timeout):
        self.count += self.starts > MANY_STARTS
        self.starts = 0


# Guards against callers, and links to other processes, that wait for the event
# loop while it answers what many clients have sent ahead.
def test_requests_sent_ahead_are_handled_in_turns():
    clients, ahead = 30, 100

    async def send_ahead(guard, app, connect):
        passes = BusyPasses()

        async def count(exchange):
            passes.starts += 1
            return Reply(HTTPStatus.OK, b'<>')

        app._handle_exchange = count
        streams = [await connect() for _ in range(clients)]
        trio.lowlevel.add_instrument(passes)
        async with trio.open_nursery() as nursery:
            for stream in streams:
                nursery.start_soon(stream.send_all, GET % b'/' * ahead)
        for stream in streams:
            received = 0
            while received < ahead:
                received += (await stream.receive_some(65536)).count(b'<>')
        trio.lowlevel.remove_instrument(passes)
        # The first request of each client waits for no turn.
        assert passes.count <= 1

    run(send_ahead)


# Guards against the same by bodies in chunks of one byte.
def test_small_chunks_are_parsed_in_turns(monkeypatch):
    clients, chunks = 10, 3000
    head = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    body = b'1\r\nx\r\n' * chunks + b'0\r\n\r\n'
    parse_chunks = Http1Connection._parse_chunks

    async def send_chunks(guard, app, connect):
        passes = BusyPasses()

        def count(connection):
            passes.starts += 1
            return parse_chunks(connection)

        monkeypatch.setattr(Http1Connection, '_parse_chunks', count)
        streams = [await connect() for _ in range(clients)]
        trio.lowlevel.add_instrument(passes)
        async with trio.open_nursery() as nursery:
            for stream in streams:
                nursery.start_soon(stream.send_all, head + body)
        for stream in streams:
            assert (await stream.receive_some(1000)).endswith(b'3000')
        trio.lowlevel.remove_instrument(passes)
        assert passes.count <= 1

    run(send_chunks)


class Http2Client:
    """A connection that sends requests and doesn't open its windows."""

    def __init__(self, stream, window=None):
        self.stream = stream
        config = h2.config.H2Configuration(client_side=True)
        self.protocol = h2.connection.H2Connection(config)
        self.protocol.initiate_connection()
        self.events = []
        if window is not None:
            code = h2.settings.SettingCodes.INITIAL_WINDOW_SIZE
            self.protocol.update_settings({code: window})

    def request(self, path, stream_id):
        fields = [(':method', 'GET'), (':path', path), *FIELDS]
        self.protocol.send_headers(stream_id, fields, end_stream=True)

    async def flush(self):
        await self.stream.send_all(self.protocol.data_to_send())

    async def read_until(self, event_type, count):
        """Reads until there are so many events of a type; returns them."""
        while True:
            found = [
                event for event in self.events if isinstance(event, event_type)
            ]
            if len(found) >= count:
                return found
            received = await self.stream.receive_some(65536)
            if not received:
                return found
            self.events += self.protocol.receive_data(received)
            await self.flush()


# Guards against more requests of a connection than its limit, and against one
# that is refused in a way that leaves open whether it was handled.
def test_streams_above_the_limit_are_refused():
    async def open_streams(guard, app, connect):
        client = Http2Client(await connect())
        for number in range(20):
            client.request('/wait', 2 * number + 1)
        await client.flush()
        resets = await client.read_until(h2.events.StreamReset, 4)
        assert {event.error_code for event in resets} == {
            h2.errors.ErrorCodes.REFUSED_STREAM
        }
        assert app.waiting <= 16
        app.released.set()
        ended = await client.read_until(h2.events.StreamEnded, 16)
        assert (len(ended), len(resets)) == (16, 4)

    run(open_streams, max_streams=16)


# Guards against callers that are refused because all requests in progress wait
# for clients that keep their windows closed.
def test_stalled_streams_end_for_others():
    async def stall(guard, app, connect):
        stalled = Http2Client(await connect(), window=0)
        for number in range(8):
            stalled.request('/', 2 * number + 1)
        await stalled.flush()
        await wait_until(lambda: guard.replies.used == 8)
        client = Http2Client(await connect())
        client.request('/', 1)
        await client.flush()
        assert await client.read_until(h2.events.StreamEnded, 1)
        assert guard.counters.ended_streams == 1
        assert guard.streams.used <= 8

    run(stall, total_streams=8)


# Guards against streams that are opened and reset faster than their requests
# end, and a connection that goes on with that.
@pytest.mark.parametrize('resets', [100, 1000])
def test_client_that_resets_its_streams_is_closed(resets):
    async def reset(guard, app, connect):
        client = Http2Client(await connect())
        for number in range(resets):
            client.request('/wait', 2 * number + 1)
            client.protocol.reset_stream(2 * number + 1)
        try:
            await client.flush()
            await wait_until(lambda: guard.counters.refused_streams)
            await wait_until(lambda: guard.streams.used == 0)
            client.request('/', 2 * resets + 1)
            await client.flush()
            ended = await client.read_until(h2.events.StreamEnded, 1)
        except trio.BrokenResourceError:
            ended = []
        assert bool(ended) == (resets == 100)
        await wait_until(lambda: guard.streams.used == 0)

    run(reset)


# Guards against a large reply over HTTP/2 that is cut off for its size alone.
def test_reply_above_the_limit_of_a_connection_is_sent_whole():
    async def read_reply(guard, app, connect):
        async with await connect() as stream:
            await stream.send_all(GET % b'/large')
            received = 0
            while received < LARGE_REPLY_BYTES:
                received += len(await stream.receive_some(65536))

    run(read_reply, max_reply_bytes=1000, total_reply_bytes=2000)
