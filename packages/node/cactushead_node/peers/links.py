"""Links of a process to its peers: dialling, handshake and sending."""

import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import trio
from cactushead_core.errors import CactusheadError, FrameError
from cactushead_core.events import (
    MessageInProgress,
    MessageReceived,
    PeerConnected,
    PeerLost,
)
from cactushead_core.messages import Message, decode_frame, encode_frame
from websockets.exceptions import InvalidHandshake, WebSocketException
from websockets.trio.client import connect
from websockets.trio.connection import Connection

from ..ports import DeliverEvent, FrameInterceptor, MessageTransport
from .connections import DialledConnection
from .counters import LinkCounters
from .link import CLOSE_TIMEOUT_S, Link, close_socket
from .messages import Hello

MAX_FRAME_BYTES = 16_000_000
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 3.0
HELLO_TIMEOUT_S = 3.0
MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0
FLUSH_POLL_S = 0.01

_DIAL_ERRORS = (
    OSError,
    InvalidHandshake,
    WebSocketException,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

_log = logging.getLogger('cactushead.peers')


class HelloError(CactusheadError):
    """The handshake did not identify an expected peer of this process."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address at which a process accepts links.

    Attributes:
        name: Name of the process; empty if it is not known.
        host: IP address or host name.
        port: TCP port.
    """

    name: str
    host: str
    port: int

    @property
    def url(self) -> str:
        """WebSocket URL.

        Examples:
            >>> PeerAddress('e1', '127.0.0.1', 9001).url
            'ws://127.0.0.1:9001'
        """
        return f'ws://{self.host}:{self.port}'


class PeerLinks(MessageTransport):
    """Links of one process to all its peers.

    Explanation:
        Every process dials the voters; of two voters, the one whose name
        sorts first dials. A peer is connected from the start of its first
        link to the end of its last. Frames are always sent on the oldest
        open link, which preserves the order of messages. When a new
        incarnation of a peer connects, the loss of the old one is delivered
        first.

    Attributes:
        counters: Traffic over all links.
        ping_interval_s: Interval of the pings of the WebSockets, None if the
            reducer pings the peers.
    """

    def __init__(
        self,
        hello: Hello,
        deliver: DeliverEvent,
        side_channel: FrameInterceptor | None = None,
        *,
        stale_s: float = 0.0,
    ) -> None:
        """Creates an empty set of links.

        Args:
            hello: Handshake message of this process.
            deliver: Receives the events.
            side_channel: Handles messages that are not for the reducer.
            stale_s: If above 0, only one link per peer is kept; another
                link replaces it only if it has received nothing for this
                time.
        """
        self._stale_s = stale_s
        # A reducer that replaces stale links also pings its peers.
        self.ping_interval_s = None if stale_s else PING_INTERVAL_S
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
        """Queues messages for a peer as one frame, without blocking.

        Args:
            peer: Name of the peer; messages are dropped without a link.
            messages: The messages, in order.
        """
        for link in self._links.get(peer, ()):
            if link.is_open:
                self._send_on(link, messages)
                return
        self.counters.dropped_messages += len(messages)

    async def dial(self, address: PeerAddress) -> None:
        """Maintains a link to a voter until it is cancelled.

        Explanation:
            Failed and ended links are redialled after a randomized delay,
            which doubles up to `MAX_REDIAL_DELAY_S`.

        Args:
            address: Address of the voter.
        """
        delay_s = MIN_REDIAL_DELAY_S
        while True:
            if await self.dial_once(address):
                delay_s = MIN_REDIAL_DELAY_S
            await trio.sleep(delay_s * (1 + self._random.random()) / 2)
            delay_s = min(delay_s * 2, MAX_REDIAL_DELAY_S)

    async def dial_once(self, address: PeerAddress) -> bool:
        """Tries once to open a link and runs it until it ends.

        Args:
            address: Address of the peer; an empty name accepts any peer.

        Returns:
            Whether a connection was established.
        """
        try:
            async with connect(
                address.url,
                compression=None,
                proxy=None,
                ping_interval=self.ping_interval_s,
                ping_timeout=PING_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                open_timeout=HELLO_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                create_connection=DialledConnection,
            ) as socket:
                await self.run_socket(socket, address.name)
        except _DIAL_ERRORS as error:
            _log.debug('peers: cannot connect to %s: %s', address.name, error)
            return False
        return True

    async def run_socket(
        self,
        socket: Connection,
        expected: str = '',
        on_identified: Callable[[], None] | None = None,
    ) -> None:
        """Performs the handshake on an open WebSocket and runs the link.

        Args:
            socket: The WebSocket.
            expected: Required name of the peer; empty for any.
            on_identified: Called when the peer is identified.
        """
        try:
            hello = await self._exchange_hellos(socket, expected)
        except (HelloError, FrameError, WebSocketException) as error:
            self.counters.refused_links += 1
            _log.warning('peers: refused a link: %s', error)
            await close_socket(socket)
            return
        if on_identified is not None:
            on_identified()
        link = Link(socket, hello.peer, self.counters)
        if not self._accept_link(link):
            await close_socket(socket)
            return
        self._add(link)
        try:
            await link.run(
                partial(self._receive, link),
                partial(
                    self._deliver, partial(MessageInProgress, sender=link.peer)
                ),
            )
        finally:
            self._remove(link)

    async def close(self, timeout_s: float) -> None:
        """Flushes the queued frames and closes all links.

        Args:
            timeout_s: Maximum time to wait for the frames to be written.
        """
        with trio.move_on_after(timeout_s):
            while not all(link.flushed for link in self.open_links()):
                await trio.sleep(FLUSH_POLL_S)
        async with trio.open_nursery() as nursery:
            for link in self.open_links():
                nursery.start_soon(link.close)

    def drop(self, peer: str, cause: str) -> None:
        """Aborts all links to a peer and reports it lost immediately.

        Explanation:
            An unresponsive peer does not complete the closing handshake of
            its link; the report of its loss must not wait for it.

        Args:
            peer: Name of the peer.
            cause: Reason, which is logged.
        """
        for link in list(self._links.get(peer, ())):
            link.drop(cause)
            self._remove(link)

    def open_links(self) -> list[Link]:
        """Returns all links that have not ended."""
        return [link for links in self._links.values() for link in links]

    async def _exchange_hellos(
        self,
        socket: Connection,
        expected: str,
    ) -> Hello:
        """Sends the hello of this process and returns that of the peer."""
        await socket.send(encode_frame([self._hello]))
        with trio.move_on_after(HELLO_TIMEOUT_S):
            frame = await socket.recv(decode=False)
            return self._check_hello(decode_frame(frame), expected)
        raise HelloError(f'no hello received within {HELLO_TIMEOUT_S} s')

    def _check_hello(self, messages: list[Message], expected: str) -> Hello:
        """Returns the hello of a first frame.

        Raises:
            HelloError: It is no hello, or of an unexpected process.
        """
        if len(messages) != 1 or not isinstance(messages[0], Hello):
            raise HelloError(f'first frame is not a hello: {messages!r:.80}')
        hello = messages[0]
        mismatch = self._find_hello_mismatch(hello, expected)
        if mismatch:
            raise HelloError(f'{hello.name!r:.80} {mismatch}')
        return hello

    def _find_hello_mismatch(self, hello: Hello, expected: str) -> str:
        """Returns why a hello is not accepted; empty if it is."""
        if hello.cell != self._hello.cell:
            return f'is in cell {hello.cell!r:.80}, not {self._hello.cell!r}'
        if hello.name == self._hello.name:
            return 'has the name of this process'
        if expected and hello.name != expected:
            return f'answered instead of {expected!r}'
        return ''

    def _send_on(self, link: Link, messages: Sequence[Message]) -> None:
        """Sends messages on a link, split into frames that can be sent.

        Explanation:
            A message that is too large, or that can't be encoded, is dropped,
            so that only the exchange to which it belongs fails.
        """
        content = messages
        if self._side_channel is not None:
            content = [self._side_channel.header_message(), *messages]
        try:
            frame = _encode(content)
        except FrameError as error:
            if len(messages) > 1:
                middle = len(messages) // 2
                self._send_on(link, messages[:middle])
                self._send_on(link, messages[middle:])
                return
            self.counters.dropped_messages += 1
            _log.error(
                'peers: dropped a %s to %s: %s',
                type(messages[0]).__name__,
                link.peer.name,
                error,
            )
        else:
            link.send(frame, len(content))

    def _receive(self, link: Link, message: Message) -> None:
        """Delivers a message, unless the side channel handles it."""
        if not link.is_open:
            return
        channel = self._side_channel
        if channel is not None and channel.intercept(link.peer.name, message):
            return
        self._deliver(
            partial(MessageReceived, sender=link.peer, message=message),
        )

    def _accept_link(self, link: Link) -> bool:
        """Returns whether a new link is kept; drops a stale one it replaces.

        Explanation:
            The peer may have dropped the old link without this process
            noticing. Messages sent on that link would be lost.
        """
        links = self._links.get(link.peer.name)
        if not self._stale_s or not links or links[0].peer != link.peer:
            return True
        if links[0].silence_s < self._stale_s:
            return False
        self._drop_replaced_links(links)
        return True

    def _add(self, link: Link) -> None:
        """Registers a link; reports its peer if it was not connected."""
        links = self._links.setdefault(link.peer.name, [])
        if links and links[0].peer != link.peer:
            self._drop_replaced_links(links)
        links.append(link)
        if len(links) == 1:
            _log.info('peers: connected to %s', link.peer.name)
            self._deliver(partial(PeerConnected, peer=link.peer))

    def _drop_replaced_links(self, links: list[Link]) -> None:
        """Aborts the links of a peer and reports it lost."""
        old = links[0].peer
        for link in links:
            link.drop('a newer link connected')
        links.clear()
        self._deliver(partial(PeerLost, peer=old))

    def _remove(self, link: Link) -> None:
        """Removes an ended link; reports its peer lost after the last one."""
        links = self._links.get(link.peer.name, [])
        if link not in links:
            return
        links.remove(link)
        if not links:
            self._links.pop(link.peer.name)
            _log.info('peers: lost %s', link.peer.name)
            self._deliver(partial(PeerLost, peer=link.peer))


def _encode(messages: Sequence[Message]) -> bytes:
    """Returns the frame of messages.

    Raises:
        FrameError: A message can't be encoded, or the frame is too large.
    """
    try:
        frame = encode_frame(messages)
    except Exception as error:
        raise FrameError(f'not encodable: {error!r}') from error
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(f'{len(frame)} bytes, at most {MAX_FRAME_BYTES}')
    return frame
