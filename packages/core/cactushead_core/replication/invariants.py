"""Checks that stay on in production."""

from ..errors import CactusheadError


class ReplicationInvariantError(CactusheadError):
    """The replicated log is in a state that must never occur."""


def require(condition: bool, description: str) -> None:
    """Raises unless a claim holds.

    Args:
        holds: Whether it holds.
        claim: What must hold, with the offending values.

    Raises:
        ReplicationInvariantError: The claim doesn't hold.
    """
    if not condition:
        raise ReplicationInvariantError(description)
