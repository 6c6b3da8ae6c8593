"""Base class of messages and registry of their type codes."""

from collections.abc import Callable
from typing import TypeVar

from ..errors import CactusheadError


class Message:
    """Base class of messages between processes and of log records."""

    __slots__ = ()


_Wire = TypeVar('_Wire', bound=type[Message])

TYPES_BY_CODE: dict[int, type[Message]] = {}
CODES_BY_TYPE: dict[type[Message], int] = {}


class DuplicateWireCodeError(CactusheadError):
    """Two message classes are registered under the same wire code."""


def wire_type(code: int) -> Callable[[_Wire], _Wire]:
    """Registers a message dataclass under a wire code.

    Codes: 1-19 leases and agents, 20-39 jobs, 40-59 documents, 60-79
    replication, 80-99 log records, 100-119 time line and metrics, 120-149
    fleets.

    Args:
        code: Number that identifies the class in frames and in the log. A
            code is never reused for another class.

    Returns:
        A class decorator.
    """

    def register(message_type: _Wire) -> _Wire:
        if code in TYPES_BY_CODE:
            raise DuplicateWireCodeError(
                f'wire code {code} is used by {TYPES_BY_CODE[code].__name__}',
            )
        TYPES_BY_CODE[code] = message_type
        CODES_BY_TYPE[message_type] = code
        return message_type

    return register
