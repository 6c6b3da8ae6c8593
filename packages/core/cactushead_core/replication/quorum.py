"""Majority computations."""

from collections.abc import Iterable
from typing import TypeVar

_Ordered = TypeVar('_Ordered', int, float)


def majority_value(values: Iterable[_Ordered]) -> _Ordered:
    """Returns the largest value that a majority of the values reaches.

    Args:
        values: One value per voter; at least one.

    Examples:
        >>> majority_value([7, 9, 3])
        7
        >>> majority_value([7, 9, 3, 1])
        3
    """
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]


def is_majority(count: int, voters: int) -> bool:
    """Whether a count is more than half of the voters.

    Examples:
        >>> is_majority(2, 3), is_majority(2, 4)
        (True, False)
    """
    return count * 2 > voters
