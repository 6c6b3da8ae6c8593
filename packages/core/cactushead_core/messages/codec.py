"""Wire form of messages: CBOR arrays of a type code and the fields.

Explanation:
    A frame is an array of messages, a message `[code, field, ...]`. The form
    of a field follows from its annotation, so nested dataclasses need no
    code of their own. Converters are built once per class.
"""

import dataclasses
import enum
import operator
import types
import typing
from collections.abc import Callable, Iterable
from functools import cache
from typing import Any

import cbor2

from ..errors import FrameError
from .base import CODES, REGISTRY, Message

_Converter = Callable[[Any], Any]
_SCALARS = frozenset((int, float, str, bytes, bool))


def encode_message(message: Message) -> bytes:
    """Returns the wire form of one message.

    Args:
        message: An instance of a registered class.

    Returns:
        CBOR bytes.
    """
    return cbor2.dumps(_to_wire(message))


def decode_message(blob: bytes) -> Message:
    """Returns the message of a wire form.

    Args:
        blob: What `encode_message` returned.

    Returns:
        The message.

    Raises:
        FrameError: The bytes are no message of a known type.
    """
    return _from_wire(_load(blob))


def encode_frame(messages: Iterable[Message]) -> bytes:
    """Returns one frame for several messages to the same peer."""
    return cbor2.dumps([_to_wire(message) for message in messages])


def decode_frame(blob: bytes) -> list[Message]:
    """Returns the messages of one frame, in order.

    Args:
        blob: The frame's bytes.

    Returns:
        The messages.

    Raises:
        FrameError: The bytes are no frame of known messages.
    """
    parts = _load(blob)
    if not isinstance(parts, list):
        raise FrameError(f'frame is a {type(parts).__name__}, not an array')
    return [_from_wire(part) for part in parts]


def _load(blob: bytes) -> Any:
    try:
        return cbor2.loads(blob)
    except Exception as error:
        raise FrameError(f'frame is no CBOR: {error}') from error


def _to_wire(message: Message) -> list[Any]:
    parts: list[Any] = [CODES[type(message)]]
    parts.extend(_packer(type(message))(message))
    return parts


def _from_wire(parts: Any) -> Message:
    if not isinstance(parts, list) or not parts:
        raise FrameError('message is not an array with a type code')
    code = parts[0]
    message_type = REGISTRY.get(code) if isinstance(code, int) else None
    if message_type is None:
        raise FrameError(f'unknown message code {code!r}')
    return _unpacker(message_type)(parts[1:])


@cache
def _packer(data_type: type) -> _Converter:
    hints = typing.get_type_hints(data_type)
    names = [field.name for field in dataclasses.fields(data_type)]
    packed = [_pack_field(hints[name]) for name in names]
    converters = [
        (position, convert)
        for position, convert in enumerate(packed)
        if convert is not None
    ]
    read = _fields_reader(names)

    def pack(instance: Any) -> list[Any]:
        parts = list(read(instance))
        for position, convert in converters:
            parts[position] = convert(parts[position])
        return parts

    return pack


def _fields_reader(names: list[str]) -> Callable[[Any], Iterable[Any]]:
    # With a single name, attrgetter returns no tuple.
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda instance: [getattr(instance, name) for name in names]


def _pack_field(hint: Any) -> _Converter | None:
    hint, optional = _strip_optional(hint)
    convert = _pack_plain(hint)
    if not optional or convert is None:
        return convert
    return lambda value: None if value is None else convert(value)


def _pack_plain(hint: Any) -> _Converter | None:
    if typing.get_origin(hint) is tuple:
        inner = _pack_field(typing.get_args(hint)[0])
        if inner is None:
            return list
        return lambda values: [inner(value) for value in values]
    if dataclasses.is_dataclass(hint):
        return _packer(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return operator.attrgetter('value')
    return None


@cache
def _unpacker(data_type: type) -> _Converter:
    return _Unpacker(data_type).unpack


class _Unpacker:
    """Makes instances of one dataclass from their fields.

    Explanation:
        A combination of the fields' types is checked field by field once
        and then known, so that the usual message costs one look-up.
    """

    def __init__(self, data_type: type) -> None:
        hints = typing.get_type_hints(data_type)
        fields = dataclasses.fields(data_type)
        self._make = data_type
        self._count = len(fields)
        self._known: set[tuple[type, ...]] = set()
        self._converters: list[tuple[int, _Converter]] = []
        self._checks: list[tuple[int, _Converter]] = []
        for position, field in enumerate(fields):
            hint = hints[field.name]
            scalar = _strip_optional(hint)[0] in _SCALARS
            group = self._checks if scalar else self._converters
            group.append((position, _unpack_field(hint)))

    def unpack(self, parts: Any) -> Any:
        """Returns the instance of a list of fields.

        Args:
            parts: The fields; the list is used up.

        Raises:
            FrameError: The fields don't fit the class.
        """
        name = self._make.__name__
        if not isinstance(parts, list) or len(parts) != self._count:
            raise FrameError(
                f'{name} wants {self._count} fields, got {parts!r:.80}',
            )
        try:
            return self._build(parts)
        except (TypeError, ValueError) as error:
            raise FrameError(f'{name}: {error}') from error

    def _build(self, parts: list[Any]) -> Any:
        for position, convert in self._converters:
            parts[position] = convert(parts[position])
        types_found = tuple(map(type, parts))
        if types_found not in self._known:
            self._check(parts)
            self._known.add(types_found)
        return self._make(*parts)

    def _check(self, parts: list[Any]) -> None:
        for position, check in self._checks:
            check(parts[position])


def _unpack_field(hint: Any) -> _Converter:
    hint, optional = _strip_optional(hint)
    convert = _unpack_plain(hint)
    if not optional:
        return convert
    return lambda part: None if part is None else convert(part)


def _unpack_plain(hint: Any) -> _Converter:
    if typing.get_origin(hint) is tuple:
        return _tuple_unpacker(_unpack_field(typing.get_args(hint)[0]))
    if dataclasses.is_dataclass(hint):
        return _unpacker(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_unpacker(hint)
    if hint in _SCALARS:
        return _scalar_checker(hint)
    raise TypeError(f'no wire form for {hint!r}')


def _enum_unpacker(hint: type[enum.Enum]) -> _Converter:
    members = {member.value: member for member in hint}

    def unpack(part: Any) -> enum.Enum:
        member = members.get(part)
        if member is None:
            raise FrameError(f'{part!r:.80} is no {hint.__name__}')
        return member

    return unpack


def _tuple_unpacker(inner: _Converter) -> _Converter:
    def unpack(parts: Any) -> tuple[Any, ...]:
        if not isinstance(parts, list):
            raise FrameError(f'expected an array, got {parts!r:.80}')
        return tuple([inner(part) for part in parts])

    return unpack


def _scalar_checker(expected: type) -> _Converter:
    accepted = (int, float) if expected is float else expected

    def check(part: Any) -> Any:
        if not isinstance(part, accepted):
            raise FrameError(f'expected {expected.__name__}, got {part!r:.80}')
        return part

    return check


def _strip_optional(hint: Any) -> tuple[Any, bool]:
    if isinstance(hint, types.UnionType):
        members = [
            member for member in hint.__args__ if member is not types.NoneType
        ]
        return members[0], len(members) < len(hint.__args__)
    return hint, False
