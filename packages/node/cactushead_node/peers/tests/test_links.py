"""Tests of links between processes over loopback."""

import logging
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio
import trio.testing
from cactushead_core.agents.messages import Acknowledge
from cactushead_core.events import (
    MessageInProgress,
    MessageReceived,
    PeerConnected,
    PeerLost,
    PeerRole,
)
from cactushead_core.messages import encode_frame
from websockets.exceptions import ConnectionClosed, ConnectionClosedError
from websockets.trio.client import connect

from cactushead_node.peers import Hello, LinkCounters, PeerAddress, PeerLinks
from cactushead_node.peers import link as link_module
from cactushead_node.peers.listener import listen

HOST = '127.0.0.1'
TIMEOUT_S = 10.0
MESSAGES = [Acknowledge(1, ('a',)), Acknowledge(2, ('b', 'c'))]


class Recorder:
    """Records the events of one process."""

    def __init__(self):
        self.events = []
        self._changed = trio.Event()

    def deliver(self, make_event):
        self.events.append(make_event(0.0))
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for(self, *expected):
        while self.events != list(expected):
            await self._changed.wait()


class LinkedProcess:
    """Process with links and a recorder of its events."""

    def __init__(self, name, incarnation='i1', cell='c1', stale_s=0.0):
        self.hello = Hello(name, PeerRole.ENTRY, incarnation, cell)
        self.recorder = Recorder()
        self.links = PeerLinks(
            self.hello,
            self.recorder.deliver,
            stale_s=stale_s,
        )

    @property
    def peer(self):
        return self.hello.peer

    @asynccontextmanager
    async def dialling(self, port, name='voter'):
        async with trio.open_nursery() as nursery:
            address = PeerAddress(name, HOST, port)
            nursery.start_soon(self.links.dial, address)
            yield nursery
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def listening(process):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            yield await nursery.start(listen, process.links, HOST, 0)
            nursery.cancel_scope.cancel()


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.01)


def run(test):
    trio.run(test)


# Guards against a link that is taken for silent while a large frame arrives.
def test_parts_of_a_large_frame_are_reported():
    large = Acknowledge(1, ('x' * (3 * link_module.FRAGMENT_BYTES),))

    async def exchange():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port, agent.dialling(port):
            await agent.recorder.wait_for(PeerConnected(0.0, voter.peer))
            agent.links.send('voter', [large])
            message = MessageReceived(0.0, agent.peer, large)
            await wait_until(lambda: message in voter.recorder.events)
            connected, *progress, _ = voter.recorder.events
            assert connected == PeerConnected(0.0, agent.peer)
            assert set(progress) == {MessageInProgress(0.0, agent.peer)}
            assert len(progress) >= 3
            assert voter.links.counters.received_frames == 1

    run(exchange)


def test_one_send_makes_one_frame():
    async def exchange():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port, agent.dialling(port):
            await agent.recorder.wait_for(PeerConnected(0.0, voter.peer))
            agent.links.send('voter', MESSAGES)
            await voter.recorder.wait_for(
                PeerConnected(0.0, agent.peer),
                MessageReceived(0.0, agent.peer, MESSAGES[0]),
                MessageReceived(0.0, agent.peer, MESSAGES[1]),
            )
            counters = voter.links.counters
            assert counters.received_frames == 1
            assert counters.received_messages == 2
            assert counters.received_bytes == len(encode_frame(MESSAGES))

    run(exchange)


# Guards against two processes that each wait until the other one reads: a link
# on which a large frame is being written read nothing, so large frames in both
# directions stopped it until it was cut as silent.
def test_large_frames_in_both_directions_arrive():
    # Exceeds what the sockets of both ends buffer.
    large = Acknowledge(1, ('x' * 12_000_000,))

    async def exchange():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port, agent.dialling(port):
            await agent.recorder.wait_for(PeerConnected(0.0, voter.peer))
            await voter.recorder.wait_for(PeerConnected(0.0, agent.peer))
            agent.links.send('voter', [large])
            voter.links.send('agent', [large])
            for receiver, sender in ((voter, agent), (agent, voter)):
                message = MessageReceived(0.0, sender.peer, large)
                while message not in receiver.recorder.events:
                    await trio.sleep(0.01)
                assert receiver.links.counters.dropped_links == 0

    run(exchange)


def test_second_link_replaces_a_silent_one():
    # The agent has dropped the first link, but the voter has not noticed.
    async def reconnect():
        voter = LinkedProcess('voter', stale_s=0.05)
        first, second = LinkedProcess('agent'), LinkedProcess('agent')
        async with listening(voter) as port, first.dialling(port):
            await voter.recorder.wait_for(PeerConnected(0.0, first.peer))
            await trio.sleep(0.1)
            async with second.dialling(port):
                await wait_until(lambda: len(voter.recorder.events) >= 3)
                assert voter.recorder.events[:3] == [
                    PeerConnected(0.0, first.peer),
                    PeerLost(0.0, first.peer),
                    PeerConnected(0.0, second.peer),
                ]

    run(reconnect)


def test_second_link_is_refused_while_the_first_is_live():
    async def reconnect():
        voter = LinkedProcess('voter', stale_s=TIMEOUT_S)
        first, second = LinkedProcess('agent'), LinkedProcess('agent')
        async with listening(voter) as port, first.dialling(port):
            await voter.recorder.wait_for(PeerConnected(0.0, first.peer))
            async with second.dialling(port):
                await wait_until(lambda: second.recorder.events)
                await wait_until(lambda: len(second.recorder.events) >= 2)
            assert voter.recorder.events == [PeerConnected(0.0, first.peer)]
            voter.links.send('agent', MESSAGES[:1])
            message = MessageReceived(0.0, voter.peer, MESSAGES[0])
            await wait_until(lambda: message in first.recorder.events)

    run(reconnect)


def test_both_ends_report_a_closed_link():
    async def close_link():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port:
            async with agent.dialling(port):
                await agent.recorder.wait_for(PeerConnected(0.0, voter.peer))
            await voter.recorder.wait_for(
                PeerConnected(0.0, agent.peer),
                PeerLost(0.0, agent.peer),
            )
        assert agent.recorder.events[-1] == PeerLost(0.0, voter.peer)

    run(close_link)


def test_new_incarnation_replaces_the_old_one():
    async def restart():
        voter, old = LinkedProcess('voter'), LinkedProcess('agent', 'old')
        new = LinkedProcess('agent', 'new')
        async with listening(voter) as port, old.dialling(port) as nursery:
            await old.recorder.wait_for(PeerConnected(0.0, voter.peer))
            nursery.start_soon(new.links.dial, PeerAddress('voter', HOST, port))
            await wait_until(lambda: len(voter.recorder.events) >= 3)
            assert voter.recorder.events[:3] == [
                PeerConnected(0.0, old.peer),
                PeerLost(0.0, old.peer),
                PeerConnected(0.0, new.peer),
            ]

    run(restart)


def test_second_link_of_a_peer_delivers_no_event():
    async def dial_twice():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port, agent.dialling(port):
            async with agent.dialling(port):
                await wait_until(lambda: len(voter.links.open_links()) == 2)
            await wait_until(lambda: len(voter.links.open_links()) == 1)
            assert voter.recorder.events == [PeerConnected(0.0, agent.peer)]

    run(dial_twice)


@pytest.mark.parametrize(
    'frame',
    [
        b'',
        b'\xff\xff',
        encode_frame([]),
        encode_frame(MESSAGES[:1]),
        encode_frame([Hello('a', PeerRole.AGENT, 'i', 'other cell')]),
        encode_frame([Hello('voter', PeerRole.ENTRY, 'i', 'c1')]),
    ],
)
def test_bad_first_frame_is_refused(frame, caplog):
    async def send_bad_hello():
        voter = LinkedProcess('voter')
        async with listening(voter) as port:
            url = f'ws://{HOST}:{port}'
            async with connect(url, compression=None) as socket:
                await socket.send(frame)
                await socket.recv()
                with pytest.raises(ConnectionClosed):
                    await socket.recv()
        assert voter.recorder.events == []
        assert voter.links.counters.refused_links == 1

    with caplog.at_level(logging.WARNING, 'cactushead.peers'):
        run(send_bad_hello)
    assert 'peers: refused a link' in caplog.text


def test_malformed_frame_after_hello_drops_the_link():
    async def send_malformed_frame():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port:
            async with connect(f'ws://{HOST}:{port}') as socket:
                await socket.send(encode_frame([agent.hello]))
                await socket.recv()
                await socket.send(b'\x00')
                with pytest.raises(ConnectionClosed):
                    await socket.recv()
            await voter.recorder.wait_for(
                PeerConnected(0.0, agent.peer),
                PeerLost(0.0, agent.peer),
            )

    run(send_malformed_frame)


# Guards against a process that ends because one message can't be encoded.
def test_message_that_is_not_encodable_is_dropped_alone(caplog):
    odd = Acknowledge(3, ('\ud83d',))

    async def exchange():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port, agent.dialling(port):
            await agent.recorder.wait_for(PeerConnected(0.0, voter.peer))
            agent.links.send('voter', [MESSAGES[0], odd, MESSAGES[1]])
            await voter.recorder.wait_for(
                PeerConnected(0.0, agent.peer),
                MessageReceived(0.0, agent.peer, MESSAGES[0]),
                MessageReceived(0.0, agent.peer, MESSAGES[1]),
            )
            assert agent.links.counters.dropped_messages == 1

    run(exchange)
    assert 'dropped a Acknowledge to voter' in caplog.text


def test_send_without_link_is_counted():
    process = LinkedProcess('agent')
    process.links.send('voter', MESSAGES)
    assert process.links.counters.dropped_messages == 2


def test_redial_reaches_a_voter_that_starts_later():
    async def start_late():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        with trio.fail_after(TIMEOUT_S):
            async with agent.dialling(port) as nursery:
                await trio.sleep(0.2)
                nursery.start_soon(listen, voter.links, HOST, port)
                await agent.recorder.wait_for(PeerConnected(0.0, voter.peer))

    run(start_late)


class UnreadSocket:
    """WebSocket whose peer reads nothing."""

    def __init__(self):
        self.stream = trio.testing.memory_stream_pair()[0]

    async def send(self, frame):
        await trio.sleep_forever()

    async def recv_streaming(self, decode):
        await trio.sleep_forever()
        yield b''

    async def aclose(self):
        await trio.lowlevel.checkpoint()


@pytest.mark.parametrize('frames', [1, 2])
def test_link_to_a_peer_that_does_not_read_is_dropped(frames, monkeypatch):
    monkeypatch.setattr(link_module, 'MAX_QUEUE_BYTES', 100)
    monkeypatch.setattr(link_module, 'SEND_TIMEOUT_S', 0.1)
    counters = LinkCounters()

    async def send_without_reader():
        peer = LinkedProcess('agent').peer
        link = link_module.Link(UnreadSocket(), peer, counters)
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    partial(link.run, lambda message: None, lambda: None)
                )
                for _ in range(frames):
                    link.send(bytes(60), 1)
        assert not link.is_open

    run(send_without_reader)
    assert counters.dropped_messages == frames
    assert counters.dropped_links == 1


class BreakingSocket:
    """WebSocket whose connection fails while it is closed."""

    def __init__(self):
        self.stream, self.other_end = trio.testing.memory_stream_pair()

    async def aclose(self):
        raise ConnectionClosedError(None, None)


def test_socket_that_breaks_during_close_is_closed():
    async def close():
        socket = BreakingSocket()
        await link_module.close_socket(socket)
        assert await socket.other_end.receive_some(1) == b''

    run(close)


def test_dropped_link_reports_peer_lost_immediately():
    async def drop():
        voter, agent = LinkedProcess('voter'), LinkedProcess('agent')
        async with listening(voter) as port, agent.dialling(port):
            await voter.recorder.wait_for(PeerConnected(0.0, agent.peer))
            voter.links.drop('agent', 'silent')
            # No checkpoint in between: the peer cannot have responded yet.
            assert voter.recorder.events[-1] == PeerLost(0.0, agent.peer)
            await agent.recorder.wait_for(
                PeerConnected(0.0, voter.peer),
                PeerLost(0.0, voter.peer),
            )
            assert voter.recorder.events.count(PeerLost(0.0, agent.peer)) == 1

    run(drop)
