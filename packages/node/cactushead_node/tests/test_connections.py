"""Requests on connections that are reused, and what breaks them."""

from functools import partial

import httpcore
import pytest
import trio

from cactushead_node.connections import ReusedConnections, Timeouts

TIMEOUTS = Timeouts(connect_s=1.0, read_s=0.2)
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


class Server:
    """Answers each request on a connection with the next prepared answer."""

    def __init__(self, *answers):
        self.accepted = 0
        self.requests = []
        self._answers = list(answers)

    async def serve(self, stream):
        self.accepted += 1
        while received := await stream.receive_some():
            self.requests.append(received)
            answer = self._answers.pop(0)
            if answer is None:
                return
            for part in answer if isinstance(answer, list) else [answer]:
                await stream.send_all(part)
                await trio.sleep(0)


def exchange(server, count=1):
    """Sends requests one after the other; returns the last answer."""

    async def run():
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, server.serve, 0, host='127.0.0.1')
            listeners = await nursery.start(serve)
            address = '{}:{}'.format(*listeners[0].socket.getsockname())
            result = await send(address, count)
            nursery.cancel_scope.cancel()
        return result

    result = trio.run(run)
    if isinstance(result, Exception):
        raise result
    return result


async def send(address, count):
    """Returns the last answer, or the error of the first failed request."""
    connections = ReusedConnections(1)
    try:
        for _ in range(count):
            answer = await connections.post(
                address, '/call', (), b'body', TIMEOUTS
            )
    except Exception as error:
        return error
    return answer


# Guards against a request that takes several writes, or a connection each.
def test_connection_is_reused_and_a_request_is_one_write():
    server = Server(*[ANSWER] * 3)
    assert exchange(server, count=3) == (200, b'{}')
    assert server.accepted == 1
    assert len(server.requests) == 3
    assert server.requests[0].startswith(b'POST /call HTTP/1.1\r\n')
    assert server.requests[0].endswith(b'\r\n\r\nbody')


def test_answer_in_parts_is_put_together():
    parts = [ANSWER[:9], ANSWER[9:30], ANSWER[30:-1], ANSWER[-1:]]
    assert exchange(Server(parts)) == (200, b'{}')


# Guards against a request on a connection that the server is about to close.
def test_connection_is_not_reused_after_connection_close():
    closing = ANSWER.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
    server = Server(closing, ANSWER)
    assert exchange(server, count=2) == (200, b'{}')
    assert server.accepted == 2


# Guards against an error of another library that the callers don't expect.
@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        (b'no http\r\n\r\n', httpcore.ProtocolError),
        (None, httpcore.ProtocolError),
        (b'', httpcore.TimeoutException),
        (ANSWER[:-1], httpcore.TimeoutException),
    ],
    ids=['no http', 'closed', 'nothing', 'half'],
)
def test_broken_answer_raises_the_documented_error(answer, error):
    with pytest.raises(error):
        exchange(Server(answer))


def test_refused_connection_is_a_connect_error():
    async def run():
        await ReusedConnections(1).post(
            '127.0.0.1:9', '/call', (), b'', TIMEOUTS
        )

    with pytest.raises(httpcore.ConnectError):
        trio.run(run)
