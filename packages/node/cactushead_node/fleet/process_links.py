"""Links of a fleet's process, dialled and dropped by its reducer."""

import trio
from cactushead_core.discovery import Dial, DropPeer, MemberAddress

from ..event_queue import EventQueue
from ..peers import Hello, PeerAddress, PeerLinks
from ..peers.listener import listen

TICK_S = 0.05
FLEET_CELL = 'fleet'
# A link without traffic for this time has missed a ping.
LINK_STALE_AFTER_S = 0.45


class ProcessLinks:
    """Event queue and links of a process.

    Attributes:
        event_queue: Queue of events for the reducer.
        links: Links to all peers.
    """

    def __init__(
        self,
        own: MemberAddress,
        incarnation: str,
        max_handshakes: int,
    ) -> None:
        """Creates the event queue and an empty set of links.

        Args:
            own: Identity and link address of the process.
            incarnation: Unique id of this start of the process.
            max_handshakes: Largest number of accepted links without an
                identified peer.
        """
        self.event_queue = EventQueue()
        hello = Hello(own.name, own.role, incarnation, FLEET_CELL)
        self.links = PeerLinks(
            hello, self.event_queue.put, stale_s=LINK_STALE_AFTER_S
        )
        self._own = own
        self._max_handshakes = max_handshakes
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts and dials links until it is cancelled.

        Args:
            task_status: Is signalled when the process accepts links.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                listen,
                self.links,
                self._own.host,
                self._own.port,
                self._max_handshakes,
            )
            task_status.started()

    def dial(self, effect: Dial) -> None:
        """Tries once to connect to a peer, in the background.

        Args:
            effect: Name and address of the peer.
        """
        if self._nursery is not None:
            address = PeerAddress(effect.name, effect.host, effect.port)
            self._nursery.start_soon(self.links.dial_once, address)

    def drop(self, effect: DropPeer) -> None:
        """Closes all links to a peer.

        Args:
            effect: Name of the peer.
        """
        self.links.drop(effect.name, 'silent')
