"""Connection of a process to its peers, common to all roles."""

import secrets
from collections.abc import Iterable

import trio

from ..peers import PeerAddress, PeerLinks
from ..settings import VoterAddress

FLUSH_TIMEOUT_S = 1.0
INCARNATION_BYTES = 16


def make_incarnation() -> str:
    """Returns a random id for this incarnation of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


def dial_voters(
    nursery: trio.Nursery,
    links: PeerLinks,
    voters: Iterable[VoterAddress],
) -> None:
    """Starts a task for each voter that keeps a link to it.

    Args:
        nursery: Runs the tasks.
        links: Links of this process.
        voters: The voters to dial.
    """
    for voter in voters:
        address = PeerAddress(voter.name, voter.host, voter.port)
        nursery.start_soon(links.dial, address)
