"""Messages by which processes find and watch each other."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import MemberAddress


@wire_type(120)
@dataclass(frozen=True, slots=True)
class Introduction(Message):
    """The first message over a new link.

    Attributes:
        member: The sender.
        voters: Names of the voters as the sender knows them; empty before
            they are chosen.
    """

    member: MemberAddress
    voters: tuple[str, ...]


@wire_type(121)
@dataclass(frozen=True, slots=True)
class MemberAddresses(Message):
    """Other processes that the sender knows.

    Attributes:
        members: Their addresses.
    """

    members: tuple[MemberAddress, ...]


@wire_type(122)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Shows that the link and the sender are alive.

    Attributes:
        term: Newest term of the replicated log that the sender knows.
        leads: Whether the sender leads that term under a valid lease.
        held_version: Version of the configuration that the sender holds.
    """

    term: int = 0
    leads: bool = False
    configuration_version: int = 0
