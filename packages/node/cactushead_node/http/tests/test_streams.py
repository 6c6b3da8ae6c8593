"""Several requests at a time on one HTTP/2 connection."""

from functools import partial
from http import HTTPStatus

import h2.config
import h2.connection
import h2.events
import pytest
import trio
from cactushead_node.http import BodyBudget, Exchange, Reply, serve_http

HOST = '127.0.0.1'
REPLY_BYTES = 200_000
TIMEOUT_S = 10.0
HEADERS = [
    (':method', 'POST'),
    (':path', '/job'),
    (':scheme', 'http'),
    (':authority', 'h'),
]


async def answer(scope, receive, send):
    exchange = Exchange(scope, receive, send)
    await exchange.read_body(BodyBudget())
    await trio.sleep(0.05)
    await exchange.send(Reply(HTTPStatus.OK, bytes(REPLY_BYTES)))


async def read_replies(port, streams):
    """Sends a request on each stream; returns the sizes of the replies."""
    config = h2.config.H2Configuration(client_side=True)
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    sizes = {2 * number + 1: 0 for number in range(streams)}
    for stream_id in sizes:
        connection.send_headers(stream_id, HEADERS)
        connection.send_data(stream_id, b'{}', end_stream=True)
    stream = await trio.open_tcp_stream(HOST, port)
    ended = 0
    async with stream:
        while ended < streams:
            await stream.send_all(connection.data_to_send())
            for event in connection.receive_data(await stream.receive_some()):
                if isinstance(event, h2.events.DataReceived):
                    sizes[event.stream_id] += len(event.data)
                    connection.acknowledge_received_data(
                        event.flow_controlled_length, event.stream_id
                    )
                ended += isinstance(event, h2.events.StreamEnded)
    return list(sizes.values())


# Guards against replies that wait for ever because what the caller sends, such
# as room for more, isn't read while others are sent.
@pytest.mark.parametrize('streams', [1, 2, 8])
def test_large_replies_on_parallel_streams(streams):
    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(
                    partial(
                        serve_http,
                        answer,
                        HOST,
                        0,
                        shutdown_trigger=trio.sleep_forever,
                        drain_s=0.0,
                    )
                )
                sizes = await read_replies(port, streams)
                nursery.cancel_scope.cancel()
        return sizes

    assert trio.run(main) == [REPLY_BYTES] * streams
