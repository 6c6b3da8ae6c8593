"""Commands of the command line interface."""

from .context import (
    EXIT_FAILED,
    EXIT_SUCCESS,
    EXIT_USAGE_ERROR,
    Action,
    Context,
)
from .root import Cactushead

__all__ = [
    'EXIT_USAGE_ERROR',
    'EXIT_SUCCESS',
    'EXIT_FAILED',
    'Action',
    'Cactushead',
    'Context',
]
