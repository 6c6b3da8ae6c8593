"""Effects on the links between processes."""

from dataclasses import dataclass

from ..effects import Effect


@dataclass(frozen=True, slots=True)
class Dial(Effect):
    """Makes one attempt to open a link.

    Attributes:
        host: IP address of the other process.
        port: Its TCP port.
        name: Its name; empty if only the address is known.
    """

    host: str
    port: int
    name: str


@dataclass(frozen=True, slots=True)
class DropPeer(Effect):
    """Closes all links to a peer that timed out.

    Attributes:
        name: Name of the peer.
    """

    name: str
