"""The first message on every link."""

from dataclasses import dataclass

from cactushead_core.events import Peer, PeerRole
from cactushead_core.messages import Message, wire_type


@wire_type(10)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """A process says who it is.

    Attributes:
        name: Name of the process.
        role: What it is.
        incarnation: Identity of this run of the process.
        cell: Name of its cell.
    """

    name: str
    role: PeerRole
    incarnation: str
    cell: str

    @property
    def peer(self) -> Peer:
        """The process as the reducer sees it."""
        return Peer(self.name, self.role, self.incarnation)
