"""Callers that leave while their request is read or answered."""

import socket
from contextlib import suppress
from functools import partial
from http import HTTPStatus

import pytest
import trio
from cactushead_node.http import BodyBudget, Exchange, Reply, serve_http
from cactushead_node.http.errors import CallerDisconnectedError

HOST = '127.0.0.1'
REQUEST = b'POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}'
LARGE_REQUEST = (
    b'POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n'
    + bytes(300_000)
)
NOTICE_S = 0.5
# The order of events in one pass of the event loop is random.
ATTEMPTS = 200


class WaitingApp:
    """Computes without end; counts the computations that go on."""

    def __init__(self):
        self.started = 0
        self.running = 0

    async def __call__(self, scope, receive, send):
        exchange = Exchange(scope, receive, send)
        await exchange.read_body(BodyBudget())
        with suppress(CallerDisconnectedError):
            await exchange.run_until_disconnect(self.compute, check_first=True)

    async def compute(self):
        self.started += 1
        self.running += 1
        try:
            await trio.sleep_forever()
        finally:
            self.running -= 1


def run(test, app=None):
    app = app or WaitingApp()

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(
                    partial(
                        serve_http,
                        app,
                        HOST,
                        0,
                        shutdown_trigger=trio.sleep_forever,
                        drain_s=0.0,
                    )
                )
                await test(app, port)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def wait_until(condition):
    with trio.move_on_after(NOTICE_S):
        while not condition():
            await trio.sleep(0.01)


# Guards against a job that goes on after its caller has left, because the
# server reads nothing behind a request that it hasn't answered.
@pytest.mark.parametrize(
    'behind',
    [b'', b'\r\n', b'x', REQUEST, LARGE_REQUEST],
    ids=['nothing', 'line end', 'odd byte', 'request', 'large request'],
)
def test_hang_up_is_noticed_whatever_was_sent_before(behind):
    async def hang_up(app, port):
        stream = await trio.open_tcp_stream(HOST, port)
        await stream.send_all(REQUEST)
        await wait_until(lambda: app.running)
        assert app.running == 1
        with trio.move_on_after(NOTICE_S):
            await stream.send_all(behind)
        await trio.sleep(0.02)
        assert app.running == 1
        await trio.aclose_forcefully(stream)
        await wait_until(lambda: not app.running)
        assert (app.started, app.running) == (1, 0)

    run(hang_up)


# Guards against a job that is admitted and offered although its caller left
# before the process, which was paused, read the request.
def test_request_of_caller_that_has_left_is_not_computed():
    async def leave(app, port):
        for _ in range(ATTEMPTS):
            # Without a pass of the event loop, as during a pause.
            with socket.create_connection((HOST, port)) as caller:
                caller.sendall(REQUEST)
            await trio.sleep(0.002)
        await trio.sleep(0.05)
        assert app.started == 0

    run(leave)


class SlowEcho:
    """Replies with the size of the body, some time after the request."""

    async def __call__(self, scope, receive, send):
        exchange = Exchange(scope, receive, send)
        await exchange.read_body(BodyBudget())
        size = len(exchange.take_body())
        await exchange.run_until_disconnect(partial(trio.sleep, 0.05))
        await exchange.send(Reply(HTTPStatus.OK, b'<%d>' % size))


# Guards against bytes of the next request that are lost or reordered because
# they were read while the server waited for the reply to the first one.
def test_requests_that_came_early_are_answered_in_order():
    async def send_early(_, port):
        stream = await trio.open_tcp_stream(HOST, port)
        async with trio.open_nursery() as nursery:
            early = REQUEST + LARGE_REQUEST + REQUEST
            nursery.start_soon(stream.send_all, early)
            received = b''
            while received.count(b'>') < 3:
                received += await stream.receive_some(65536)
        sizes = [part.partition(b'>')[0] for part in received.split(b'<')[1:]]
        assert sizes == [b'2', b'300000', b'2']

    run(send_early, SlowEcho())
