"""Addresses of the processes of a fleet."""

from dataclasses import dataclass

from ..events import PeerRole


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """Address at which a process accepts links.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class MemberAddress:
    """A process, its address and its role in the fleet.

    Attributes:
        name: Name of the process.
        role: Its role.
        host: IP address on which it accepts links.
        port: TCP port on which it accepts links.
        data_centre: Its data centre.
        disk_incarnation: Identity of the contents of its disk; empty without
            a disk.
    """

    name: str
    role: PeerRole
    host: str
    port: int
    data_centre: str = ''
    disk_incarnation: str = ''

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint at which the process accepts links."""
        return Endpoint(self.host, self.port)
