"""Links between the processes of the system."""

from .counters import LinkCounters
from .links import HelloError, PeerAddress, PeerLinks
from .messages import Hello

__all__ = [
    'Hello',
    'HelloError',
    'LinkCounters',
    'PeerAddress',
    'PeerLinks',
]
