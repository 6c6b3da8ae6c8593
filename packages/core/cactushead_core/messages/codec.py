"""CBOR encoding of messages as arrays of a type code and the fields.

Explanation:
    A frame is an array of messages; a message is `[code, field, ...]`. The
    encoding of a field is derived from its type annotation, so nested
    dataclasses need no encoder of their own. The converters of a class are
    built once and cached.
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
from .base import CODES_BY_TYPE, TYPES_BY_CODE, Message

_Converter = Callable[[Any], Any]
_SCALARS = frozenset((int, float, str, bytes, bool))


def encode_message(message: Message) -> bytes:
    """Returns the encoding of one message.

    Args:
        message: An instance of a registered class.

    Returns:
        CBOR bytes.
    """
    return cbor2.dumps(_to_wire(message))


def decode_message(blob: bytes) -> Message:
    """Decodes one message.

    Args:
        blob: What `encode_message` returned.

    Returns:
        The message.

    Raises:
        FrameError: The bytes do not encode a message of a known type.
    """
    return _from_wire(_decode_cbor(blob))


def encode_frame(messages: Iterable[Message]) -> bytes:
    """Returns one frame with several messages to the same peer."""
    return cbor2.dumps([_to_wire(message) for message in messages])


def decode_frame(blob: bytes) -> list[Message]:
    """Returns the messages of one frame, in order.

    Args:
        blob: The frame's bytes.

    Returns:
        The messages.

    Raises:
        FrameError: The bytes are not a frame of messages of known types.
    """
    parts = _decode_cbor(blob)
    if not isinstance(parts, list):
        raise FrameError(f'frame is a {type(parts).__name__}, not an array')
    return [_from_wire(part) for part in parts]


def _decode_cbor(blob: bytes) -> Any:
    try:
        return cbor2.loads(blob)
    except Exception as error:
        raise FrameError(f'frame is not valid CBOR: {error}') from error


def _to_wire(message: Message) -> list[Any]:
    parts: list[Any] = [CODES_BY_TYPE[type(message)]]
    parts.extend(_packer(type(message))(message))
    return parts


def _from_wire(parts: Any) -> Message:
    if not isinstance(parts, list) or not parts:
        raise FrameError('message is not an array with a type code')
    code = parts[0]
    message_type = TYPES_BY_CODE.get(code) if isinstance(code, int) else None
    if message_type is None:
        raise FrameError(f'unknown message code {code!r}')
    return _unpacker(message_type)(parts[1:])


@cache
def _packer(data_type: type) -> _Converter:
    """Returns a function from an instance to the list of encoded fields."""
    hints = typing.get_type_hints(data_type)
    names = [field.name for field in dataclasses.fields(data_type)]
    packed = [_field_packer(hints[name]) for name in names]
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
    # For a single name, attrgetter returns the value and not a tuple.
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda instance: [getattr(instance, name) for name in names]


def _field_packer(hint: Any) -> _Converter | None:
    """Returns the encoder of a field, None for a value encoded as it is."""
    hint, optional = _strip_optional(hint)
    convert = _required_packer(hint)
    if not optional or convert is None:
        return convert
    return lambda value: None if value is None else convert(value)


def _required_packer(hint: Any) -> _Converter | None:
    if typing.get_origin(hint) is tuple:
        inner = _field_packer(typing.get_args(hint)[0])
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
    """Returns a function from a list of encoded fields to an instance."""
    return _Unpacker(data_type).unpack


class _Unpacker:
    """Decodes the fields of one dataclass to its instances.

    Explanation:
        Scalar fields are checked one by one the first time that a
        combination of their types occurs. Valid combinations are cached, so
        that a message usually costs one look-up.
    """

    def __init__(self, data_type: type) -> None:
        hints = typing.get_type_hints(data_type)
        fields = dataclasses.fields(data_type)
        self._data_type = data_type
        self._field_count = len(fields)
        self._checked_types: set[tuple[type, ...]] = set()
        self._converters: list[tuple[int, _Converter]] = []
        self._scalar_checks: list[tuple[int, _Converter]] = []
        for position, field in enumerate(fields):
            hint = hints[field.name]
            scalar = _strip_optional(hint)[0] in _SCALARS
            group = self._scalar_checks if scalar else self._converters
            group.append((position, _field_unpacker(hint)))

    def unpack(self, parts: Any) -> Any:
        """Returns an instance with the given fields.

        Args:
            parts: The encoded fields; the list is modified.

        Raises:
            FrameError: The number or a type of the fields is wrong.
        """
        name = self._data_type.__name__
        if not isinstance(parts, list) or len(parts) != self._field_count:
            raise FrameError(
                f'{name} has {self._field_count} fields, got {parts!r:.80}',
            )
        try:
            return self._unpack_fields(parts)
        except (TypeError, ValueError) as error:
            raise FrameError(f'{name}: {error}') from error

    def _unpack_fields(self, parts: list[Any]) -> Any:
        for position, convert in self._converters:
            parts[position] = convert(parts[position])
        types_found = tuple(map(type, parts))
        if types_found not in self._checked_types:
            self._check_scalars(parts)
            self._checked_types.add(types_found)
        return self._data_type(*parts)

    def _check_scalars(self, parts: list[Any]) -> None:
        for position, check in self._scalar_checks:
            check(parts[position])


def _field_unpacker(hint: Any) -> _Converter:
    hint, optional = _strip_optional(hint)
    convert = _required_unpacker(hint)
    if not optional:
        return convert
    return lambda part: None if part is None else convert(part)


def _required_unpacker(hint: Any) -> _Converter:
    if typing.get_origin(hint) is tuple:
        return _tuple_unpacker(_field_unpacker(typing.get_args(hint)[0]))
    if dataclasses.is_dataclass(hint):
        return _unpacker(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_unpacker(hint)
    if hint in _SCALARS:
        return _scalar_checker(hint)
    raise TypeError(f'no encoding for type {hint!r}')


def _enum_unpacker(hint: type[enum.Enum]) -> _Converter:
    members = {member.value: member for member in hint}

    def unpack(part: Any) -> enum.Enum:
        member = members.get(part)
        if member is None:
            raise FrameError(f'{part!r:.80} is not a value of {hint.__name__}')
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
    """Returns the type of a hint without None, and whether None is allowed."""
    if isinstance(hint, types.UnionType):
        members = [
            member for member in hint.__args__ if member is not types.NoneType
        ]
        return members[0], len(members) < len(hint.__args__)
    return hint, False
