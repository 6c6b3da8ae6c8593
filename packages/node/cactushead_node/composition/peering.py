"""What all roles do to join the other processes."""

import secrets
from collections.abc import Iterable

import trio

from ..peers import PeerAddress, PeerLinks
from ..settings import VoterAddress

FLUSH_TIMEOUT_S = 1.0
INCARNATION_BYTES = 16


def make_incarnation() -> str:
    """Returns a new identity for this run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


def dial_voters(
    nursery: trio.Nursery,
    links: PeerLinks,
    voters: Iterable[VoterAddress],
) -> None:
    """Starts dialling voters.

    Args:
        nursery: Runs the dialling.
        links: Links of this process.
        voters: The voters to dial.
    """
    for voter in voters:
        address = PeerAddress(voter.name, voter.host, voter.port)
        nursery.start_soon(links.dial, address)
