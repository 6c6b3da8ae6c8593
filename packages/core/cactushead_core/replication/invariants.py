"""Invariant checks that are also enabled in production."""

from ..errors import CactusheadError


class ReplicationInvariantError(CactusheadError):
    """An invariant of the replicated log is violated."""


def require(condition: bool, description: str) -> None:
    """Raises unless an invariant holds.

    Args:
        condition: Whether the invariant holds.
        description: Error message with the offending values.

    Raises:
        ReplicationInvariantError: The invariant is violated.
    """
    if not condition:
        raise ReplicationInvariantError(description)
