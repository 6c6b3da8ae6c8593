"""Replaces the parts of a JSON text that no parser reads."""

import re
from collections.abc import Iterator
from types import MappingProxyType

# Far above the nesting of any message, and far below the parser's limit.
MAX_DEPTH = 64
# Integers with more digits are above 64 bits.
MAX_DIGITS = 20
_NULL = 'null'
# Texts are matched as a whole, so that what is inside them is neither.
_TEXT = r'"(?:[^"\\]|\\.)*"'
_BRACKET = re.compile(rf'{_TEXT}|[\[\]{{}}]', re.DOTALL)
_LONG_INTEGER = re.compile(
    rf'({_TEXT})|-?[0-9]{{{MAX_DIGITS + 1},}}', re.DOTALL
)
_DEPTH_CHANGES = MappingProxyType({'[': 1, '{': 1, ']': -1, '}': -1})


def replace_unreadable(body: bytes) -> bytes:
    """Returns a JSON text without values that make it unreadable as a whole.

    Explanation:
        Bytes that are no UTF-8 are replaced inside their text. Values that are
        nested too deeply and integers with too many digits become null. A
        reader of a list then skips the entries that contain them.

    Examples:
        >>> replace_unreadable(b'[1, 123456789012345678901234567890]')
        b'[1, null]'
        >>> replace_unreadable(b'[' * 65 + b']' * 65)[60:70]
        b'[[[[null]]'

    Args:
        body: JSON text.
    """
    text = _LONG_INTEGER.sub(_keep_text, body.decode('utf-8', 'replace'))
    parts = []
    copied_to = 0
    for start, end in _deep_spans(text):
        parts.extend((text[copied_to:start], _NULL))
        copied_to = end
    parts.append(text[copied_to:])
    return ''.join(parts).encode('utf-8')


def _keep_text(token: re.Match[str]) -> str:
    return token.group(1) or _NULL


def _deep_spans(text: str) -> Iterator[tuple[int, int]]:
    """Yields the start and the end of each value that is nested too deeply."""
    depth = 0
    start = 0
    for token in _BRACKET.finditer(text):
        previous_depth = depth
        depth += _DEPTH_CHANGES.get(token.group(), 0)
        if (previous_depth, depth) == (MAX_DEPTH, MAX_DEPTH + 1):
            start = token.start()
        elif (previous_depth, depth) == (MAX_DEPTH + 1, MAX_DEPTH):
            yield start, token.end()
