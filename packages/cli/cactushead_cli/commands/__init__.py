"""Commands of the command line."""

from .context import EXIT_BAD_USE, EXIT_DONE, EXIT_FAILED, Action, Context
from .root import Cactushead

__all__ = [
    'EXIT_BAD_USE',
    'EXIT_DONE',
    'EXIT_FAILED',
    'Action',
    'Cactushead',
    'Context',
]
