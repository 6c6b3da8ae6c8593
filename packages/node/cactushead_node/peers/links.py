"""All links of a process: dialling, listening and sending."""

import logging
import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

import trio
from cactushead_core.errors import CactusheadError, FrameError
from cactushead_core.events import MessageReceived, PeerConnected, PeerLost
from cactushead_core.messages import Message, decode_frame, encode_frame
from websockets.exceptions import InvalidHandshake, WebSocketException
from websockets.trio.client import connect
from websockets.trio.connection import Connection

from ..ports import DeliverEvent, FrameInterceptor, MessageTransport
from .counters import LinkCounters
from .link import CLOSE_TIMEOUT_S, Link, close_socket
from .messages import Hello

MAX_FRAME_BYTES = 16_000_000
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 3.0
HELLO_TIMEOUT_S = 3.0
FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 1.0
FLUSH_POLL_S = 0.01

_DIAL_FAULTS = (
    OSError,
    InvalidHandshake,
    WebSocketException,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

_log = logging.getLogger('cactushead.peers')


class HelloError(CactusheadError):
    """The other end of a link is not a peer of this process."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a voter listens.

    Attributes:
        name: Name of the voter.
        host: IP number or host name.
        port: TCP port.
    """

    name: str
    host: str
    port: int

    @property
    def url(self) -> str:
        """Web socket address.

        Examples:
            >>> PeerAddress('e1', '127.0.0.1', 9001).url
            'ws://127.0.0.1:9001'
        """
        return f'ws://{self.host}:{self.port}'


class PeerLinks(MessageTransport):
    """Links of one process to all its peers.

    Explanation:
        Every process dials the voters, and of two voters the one whose name
        sorts first dials. A peer counts as connected from its first link to
        the end of its last. A frame always leaves on the oldest open link,
        so that the order of messages is kept. When a new incarnation of a
        peer says hello, the old one is lost first.

    Attributes:
        counters: Traffic over all links.
    """

    def __init__(
        self,
        hello: Hello,
        deliver: DeliverEvent,
        side_channel: FrameInterceptor | None = None,
        *,
        stale_s: float = 0.0,
    ) -> None:
        """Starts without links.

        Args:
            hello: What this process says of itself.
            deliver: Takes the events.
            side_channel: Takes messages that are not for the reducer.
            stale_s: If above 0, one link per peer is kept, and a further
                one replaces it only after such a silence.
        """
        self._stale_s = stale_s
        self._side_channel = side_channel
        self.counters = LinkCounters()
        self._hello = hello
        self._deliver = deliver
        self._links: dict[str, list[Link]] = {}
        self._random = random.Random(hello.incarnation)

    @property
    def connected(self) -> tuple[str, ...]:
        """Names of the connected peers."""
        return tuple(self._links)

    def send(self, peer: str, messages: Sequence[Message]) -> None:
        """Queues messages for a peer as one frame; never waits.

        Args:
            peer: Name of the peer; without a link the messages are dropped.
            messages: The messages, in order.
        """
        for link in self._links.get(peer, ()):
            if link.open:
                self._send_on(link, messages)
                return
        self.counters.dropped_messages += len(messages)

    async def dial(self, address: PeerAddress) -> None:
        """Keeps a link to a voter until it is cancelled.

        Args:
            address: Where the voter listens.
        """
        delay_s = FIRST_DELAY_S
        while True:
            if await self.dial_once(address):
                delay_s = FIRST_DELAY_S
            await trio.sleep(delay_s * (1 + self._random.random()) / 2)
            delay_s = min(delay_s * 2, LONGEST_DELAY_S)

    async def dial_once(self, address: PeerAddress) -> bool:
        """Tries once to open a link, and keeps it until it ends.

        Args:
            address: Where the peer listens; without a name any peer will do.

        Returns:
            Whether the peer was reached.
        """
        try:
            async with connect(
                address.url,
                compression=None,
                proxy=None,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                open_timeout=HELLO_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
            ) as socket:
                await self.hold(socket, address.name)
        except _DIAL_FAULTS as error:
            _log.debug('peers: no link to %s: %s', address.name, error)
            return False
        return True

    async def hold(self, socket: Connection, expected: str = '') -> None:
        """Exchanges hellos over an open web socket and keeps the link.

        Args:
            socket: The web socket.
            expected: Name that the other end must have, empty for any.
        """
        try:
            hello = await self._exchange_hellos(socket, expected)
        except (HelloError, FrameError, WebSocketException) as error:
            self.counters.refused_links += 1
            _log.warning('peers: refused a link: %s', error)
            await close_socket(socket)
            return
        link = Link(socket, hello.peer, self.counters)
        if not self._has_place(link):
            await close_socket(socket)
            return
        self._add(link)
        try:
            await link.run(partial(self._receive, link))
        finally:
            self._remove(link)

    async def close(self, timeout_s: float) -> None:
        """Waits until all queued frames are written and closes the links.

        Args:
            timeout_s: Longest wait for the frames.
        """
        with trio.move_on_after(timeout_s):
            while not all(link.idle for link in self.open_links()):
                await trio.sleep(FLUSH_POLL_S)
        async with trio.open_nursery() as nursery:
            for link in self.open_links():
                nursery.start_soon(link.close)

    def drop(self, peer: str, cause: str) -> None:
        """Closes all links to a peer; it counts as lost from now on.

        Explanation:
            A peer that is silent doesn't answer the closing of its link, and
            those who wait for its loss shall not wait for that, too.

        Args:
            peer: Name of the peer.
            cause: Why, for the log.
        """
        for link in list(self._links.get(peer, ())):
            link.drop(cause)
            self._remove(link)

    def open_links(self) -> list[Link]:
        """Returns all links that are up."""
        return [link for links in self._links.values() for link in links]

    async def _exchange_hellos(
        self,
        socket: Connection,
        expected: str,
    ) -> Hello:
        await socket.send(encode_frame([self._hello]))
        with trio.move_on_after(HELLO_TIMEOUT_S):
            frame = await socket.recv(decode=False)
            return self._check_hello(decode_frame(frame), expected)
        raise HelloError(f'no hello in {HELLO_TIMEOUT_S} s')

    def _check_hello(self, messages: list[Message], expected: str) -> Hello:
        if len(messages) != 1 or not isinstance(messages[0], Hello):
            raise HelloError(f'first frame is no hello: {messages!r:.80}')
        hello = messages[0]
        fault = self._find_fault(hello, expected)
        if fault:
            raise HelloError(f'{hello.name!r:.80} {fault}')
        return hello

    def _find_fault(self, hello: Hello, expected: str) -> str:
        if hello.cell != self._hello.cell:
            return f'is of cell {hello.cell!r:.80}, not {self._hello.cell!r}'
        if hello.name == self._hello.name:
            return 'has the name of this process'
        if expected and hello.name != expected:
            return f'answers for {expected!r}'
        return ''

    def _send_on(self, link: Link, messages: Sequence[Message]) -> None:
        content = messages
        if self._side_channel is not None:
            content = [self._side_channel.header_message(), *messages]
        frame = encode_frame(content)
        if len(frame) <= MAX_FRAME_BYTES:
            link.send(frame, len(content))
        elif len(messages) > 1:
            middle = len(messages) // 2
            self._send_on(link, messages[:middle])
            self._send_on(link, messages[middle:])
        else:
            self.counters.dropped_messages += 1
            _log.error(
                'peers: dropped a %s of %d bytes to %s',
                type(messages[0]).__name__,
                len(frame),
                link.peer.name,
            )

    def _receive(self, link: Link, message: Message) -> None:
        if not link.open:
            return
        channel = self._side_channel
        if channel is not None and channel.intercept(link.peer.name, message):
            return
        self._deliver(
            partial(MessageReceived, sender=link.peer, message=message),
        )

    def _has_place(self, link: Link) -> bool:
        """Whether a further link to a peer is kept.

        Explanation:
            The other end may have dropped the old link without this end
            noticing; what is sent on it would be lost.
        """
        links = self._links.get(link.peer.name)
        if not self._stale_s or not links or links[0].peer != link.peer:
            return True
        if links[0].quiet_s < self._stale_s:
            return False
        self._replace(links)
        return True

    def _add(self, link: Link) -> None:
        links = self._links.setdefault(link.peer.name, [])
        if links and links[0].peer != link.peer:
            self._replace(links)
        links.append(link)
        if len(links) == 1:
            _log.info('peers: connected to %s', link.peer.name)
            self._deliver(partial(PeerConnected, peer=link.peer))

    def _replace(self, links: list[Link]) -> None:
        old = links[0].peer
        for link in links:
            link.drop('a newer link connected')
        links.clear()
        self._deliver(partial(PeerLost, peer=old))

    def _remove(self, link: Link) -> None:
        links = self._links.get(link.peer.name, [])
        if link not in links:
            return
        links.remove(link)
        if not links:
            self._links.pop(link.peer.name)
            _log.info('peers: lost %s', link.peer.name)
            self._deliver(partial(PeerLost, peer=link.peer))
