"""Handshake message, the first on every link."""

from dataclasses import dataclass

from cactushead_core.events import Peer, PeerRole
from cactushead_core.messages import Message, wire_type


@wire_type(10)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """Identifies the sending process.

    Attributes:
        name: Name of the process.
        role: Role of the process.
        incarnation: Unique id of this start of the process.
        cell: Name of its cell.
    """

    name: str
    role: PeerRole
    incarnation: str
    cell: str

    @property
    def peer(self) -> Peer:
        """Identity of the process in events for the reducer."""
        return Peer(self.name, self.role, self.incarnation)
