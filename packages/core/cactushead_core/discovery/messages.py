"""Messages for discovery and failure detection."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import MemberAddress


@wire_type(120)
@dataclass(frozen=True, slots=True)
class Introduction(Message):
    """The first message over a new link.

    Attributes:
        member: Address of the sender.
        voters: Names of the voters known to the sender, empty if it knows
            none. Only entries of a fleet that starts for the first time, and
            those of earlier software, act on it.
    """

    member: MemberAddress
    voters: tuple[str, ...]


@wire_type(121)
@dataclass(frozen=True, slots=True)
class MemberAddresses(Message):
    """Addresses of other processes known to the sender.

    Attributes:
        members: Their addresses.
    """

    members: tuple[MemberAddress, ...]


# Configuration versions of pings that are no versions. Earlier software sends
# its configuration in answer to the first, and nothing in answer to the second.
CONFIGURATION_REQUEST = 0
NO_REQUEST = 2**63 - 1


@wire_type(122)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Shows that the link and the sender work.

    Attributes:
        term: Newest term of the replicated log known to the sender.
        leads: Whether the sender is the leader of that term with a valid
            lease.
        configuration_version: Version of the sender's configuration;
            `CONFIGURATION_REQUEST` if it requests the receiver's,
            `NO_REQUEST` if it has none, or waits for a newer one.
        evacuations_version: Version of the evacuations that it knows.
    """

    term: int = 0
    leads: bool = False
    configuration_version: int = 0
    evacuations_version: int = 0


@wire_type(128)
@dataclass(frozen=True, slots=True)
class LinkReleased(Message):
    """The sender doesn't need the link any more; the receiver closes it.

    Explanation:
        The receiver doesn't dial the sender again. A link is released only
        while no work is open on it.
    """
