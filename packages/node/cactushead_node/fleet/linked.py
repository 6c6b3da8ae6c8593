"""Links of a fleet's process, dialled as its reducer asks."""

import trio
from cactushead_core.discovery import Dial, DropPeer, MemberAddress

from ..event_queue import EventQueue
from ..peers import Hello, PeerAddress, PeerLinks
from ..peers.listener import listen

TICK_S = 0.05
CELL = 'fleet'
# A ping is overdue.
STALE_S = 0.45


class LinkedProcess:
    """Inbox and links of a process."""

    def __init__(self, own: MemberAddress, incarnation: str) -> None:
        """Starts without links.

        Args:
            own: What the process tells of itself.
            incarnation: Identity of this run of it.
        """
        self.event_queue = EventQueue()
        hello = Hello(own.name, own.role, incarnation, CELL)
        self.links = PeerLinks(hello, self.event_queue.put, stale_s=STALE_S)
        self._own = own
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens and dials until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                listen,
                self.links,
                self._own.host,
                self._own.port,
            )
            task_status.started()

    def dial(self, effect: Dial) -> None:
        """Performs `Dial`."""
        if self._nursery is not None:
            address = PeerAddress(effect.name, effect.host, effect.port)
            self._nursery.start_soon(self.links.dial_once, address)

    def drop(self, effect: DropPeer) -> None:
        """Performs `DropPeer`."""
        self.links.drop(effect.name, 'silent')
