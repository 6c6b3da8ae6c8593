"""Discovery of the processes of a fleet from a few seeds."""

from .discovery import Discovery
from .effects import Dial, DropPeer
from .messages import (
    CONFIGURATION_REQUEST,
    NO_REQUEST,
    Introduction,
    LinkReleased,
    MemberAddresses,
    Ping,
)
from .model import Endpoint, MemberAddress

__all__ = [
    'CONFIGURATION_REQUEST',
    'Dial',
    'Discovery',
    'DropPeer',
    'Endpoint',
    'Introduction',
    'LinkReleased',
    'MemberAddress',
    'MemberAddresses',
    'NO_REQUEST',
    'Ping',
]
