"""Strict JSON parser: RFC 8259 without duplicate keys and half characters."""

import json
import math
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ..errors import Finding

ROOT_PLACE = '$'

_HALF_PAIR_ESCAPE = re.compile(r'\\u[dD][89a-fA-F]')
_HALF_PAIR = re.compile(r'[\ud800-\udfff]')


@dataclass(frozen=True, slots=True)
class LoadedJson:
    """The value of a JSON text and the findings about the text.

    Attributes:
        content: The parsed value, None when the text doesn't parse.
        findings: Findings about the text, with places.
        parsed: Whether the text has a value that can be checked further.
    """

    content: Any
    findings: tuple[Finding, ...]
    parsed: bool


def load_json(body: bytes) -> LoadedJson:
    r"""Parses a JSON text and reports what can't be written again.

    Explanation:
        These are duplicate keys, numbers that are not finite, and texts with
        one half of a surrogate pair, which an escape can express and UTF-8
        can't. The hooks of the parser detect the first two, but do not get
        their places. Only if something is detected, the parsed value is
        traversed to find the places.

    Examples:
        >>> load_json(b'{"a": [1]}').content
        {'a': [1]}
        >>> for found in load_json(b'{"a": [1e999], "a": 2}').findings:
        ...     print(found)
        a: duplicate key
        >>> print(load_json(b'["\\ud83d"]').findings[0])
        [0]: half of a surrogate pair
        >>> print(load_json(b'{"a" 1}').findings[0])
        line 1 column 6: expecting ':' delimiter

    Args:
        body: The text in UTF-8.

    Returns:
        The value and the findings.
    """
    try:
        text = body.decode('utf-8')
    except UnicodeDecodeError as error:
        return _unparsed(f'byte {error.start}', 'invalid UTF-8')
    try:
        return _parse(text)
    except json.JSONDecodeError as error:
        place = f'line {error.lineno} column {error.colno}'
        return _unparsed(place, error.msg[:1].lower() + error.msg[1:])
    except RecursionError:
        return _unparsed(ROOT_PLACE, 'nested too deeply')
    except ValueError:
        return _unparsed(ROOT_PLACE, 'integer with too many digits')


def child_place(parent: str, name: str) -> str:
    """Returns the place of a member of an object.

    Examples:
        >>> child_place('limits', 'queue_tasks')
        'limits.queue_tasks'
        >>> child_place('', 'limits')
        'limits'
    """
    return f'{parent}.{name}' if parent else name


def item_place(parent: str, index: int) -> str:
    """Returns the place of an item of an array.

    Examples:
        >>> item_place('tasks', 2)
        'tasks[2]'
    """
    return f'{parent}[{index}]'


class _DuplicateKeysObject(dict):  # noqa: WPS600
    """A JSON object with duplicate keys, and the list of them."""

    __slots__ = ('repeated',)

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        counts = Counter(name for name, _ in pairs)
        self.repeated = [name for name, count in counts.items() if count > 1]


class _DetectingHooks:
    """Parser hooks that detect duplicate keys and non-finite numbers."""

    __slots__ = ('found',)

    def __init__(self) -> None:
        self.found = False

    def make_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) == len(pairs):
            return members
        self.found = True
        return _DuplicateKeysObject(pairs)

    def make_float(self, text: str) -> float:
        number = float(text)
        if not math.isfinite(number):
            self.found = True
        return number


def _parse(text: str) -> LoadedJson:
    hooks = _DetectingHooks()
    content = json.loads(
        text,
        object_pairs_hook=hooks.make_object,
        parse_float=hooks.make_float,
        parse_constant=hooks.make_float,
    )
    suspicious = hooks.found or _HALF_PAIR_ESCAPE.search(text) is not None
    findings = tuple(_find_all(content, '')) if suspicious else ()
    return LoadedJson(content, findings, parsed=True)


def _unparsed(place: str, finding: str) -> LoadedJson:
    return LoadedJson(None, (Finding(place, finding),), parsed=False)


def _find_all(content: Any, place: str) -> Iterator[Finding]:
    """Yields the findings in a parsed value and the values inside it."""
    if isinstance(content, dict):
        yield from _find_in_object(content, place)
    elif isinstance(content, list):
        for index, element in enumerate(content):
            yield from _find_all(element, item_place(place, index))
    else:
        finding = _scalar_finding(content)
        if finding:
            yield Finding(place or ROOT_PLACE, finding)


def _scalar_finding(content: Any) -> str:
    if isinstance(content, str) and _HALF_PAIR.search(content):
        return 'half of a surrogate pair'
    if isinstance(content, float) and not math.isfinite(content):
        return f'must be finite, got {content}'
    return ''


def _find_in_object(members: dict[str, Any], place: str) -> Iterator[Finding]:
    for name in getattr(members, 'repeated', ()):
        yield Finding(child_place(place, name), 'duplicate key')
    for name, member in members.items():
        finding = _scalar_finding(name)
        if finding:
            yield Finding(place or ROOT_PLACE, f'name with {finding}')
            continue
        yield from _find_all(member, child_place(place, name))
