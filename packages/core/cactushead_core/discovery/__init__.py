"""Discovery of the processes of a fleet from a few seeds."""

from .discovery import Discovery
from .effects import Dial, DropPeer
from .messages import Introduction, LinkReleased, MemberAddresses, Ping
from .model import Endpoint, MemberAddress

__all__ = [
    'Dial',
    'Discovery',
    'DropPeer',
    'Endpoint',
    'Introduction',
    'LinkReleased',
    'MemberAddress',
    'MemberAddresses',
    'Ping',
]
