"""Connections to the port of the links that don't identify themselves."""

from functools import partial

import trio
from cactushead_core.events import PeerConnected

from cactushead_node.peers.listener import listen

from .test_links import HOST, TIMEOUT_S, LinkedProcess

MAX_HANDSHAKES = 8


# Guards against descriptors that are used up by connections without a peer, and
# against peers that can't connect beside them.
def test_oldest_connection_without_a_peer_is_closed():
    async def crowd():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        start = partial(
            listen, voter.links, HOST, 0, max_handshakes=MAX_HANDSHAKES
        )
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(start)
                async with agent.dialling(port):
                    await voter.recorder.wait_for(
                        PeerConnected(0.0, agent.peer)
                    )
                    streams = [
                        await trio.open_tcp_stream(HOST, port)
                        for _ in range(3 * MAX_HANDSHAKES)
                    ]
                    for stream in streams[: 2 * MAX_HANDSHAKES]:
                        assert not await read_some(stream)
                    assert voter.links.counters.closed_handshakes >= (
                        2 * MAX_HANDSHAKES
                    )
                    late = LinkedProcess('late')
                    async with late.dialling(port):
                        await voter.recorder.wait_for(
                            PeerConnected(0.0, agent.peer),
                            PeerConnected(0.0, late.peer),
                        )
                    assert voter.links.counters.dropped_links == 0
                nursery.cancel_scope.cancel()

    trio.run(crowd)


async def read_some(stream):
    """Returns what is received, nothing also if the connection is reset."""
    try:
        return await stream.receive_some(100)
    except trio.BrokenResourceError:
        return b''
