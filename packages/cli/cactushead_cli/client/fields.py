"""Typed access to the fields of decoded JSON objects."""

import json
from dataclasses import dataclass
from typing import TypeAlias

JsonValue: TypeAlias = (
    'dict[str, JsonValue] | list[JsonValue] | str | int | float | bool | None'
)
Number = int | float


@dataclass(frozen=True, slots=True)
class Fields:
    """A JSON object whose fields are read by type, with defaults.

    Examples:
        >>> fields = Fields.decode(b'{"job": "k1", "tasks": 3}')
        >>> fields.text('job'), fields.integer('tasks'), fields.flag('not_run')
        ('k1', 3, False)

    Attributes:
        raw: The decoded object.
    """

    raw: 'dict[str, JsonValue]'

    @classmethod
    def decode(cls, body: bytes) -> 'Fields':
        """Decodes a JSON object.

        Args:
            body: JSON text.

        Raises:
            ValueError: If the text is not a JSON object.
        """
        decoded = json.loads(body)
        if isinstance(decoded, dict):
            return cls(decoded)
        raise ValueError(f'expected a JSON object, got {decoded!r:.40}')

    def text(self, name: str, default: str = '') -> str:
        """Returns a string field, or the default for any other type."""
        field = self.raw.get(name)
        return field if isinstance(field, str) else default

    def flag(self, name: str, default: bool = False) -> bool:
        """Returns a boolean field, or the default for any other type."""
        field = self.raw.get(name)
        return field if isinstance(field, bool) else default

    def number(self, name: str, default: float = 0.0) -> float:
        """Returns a number field, or the default for any other type."""
        field = self.raw.get(name)
        if isinstance(field, bool) or not isinstance(field, Number):
            return default
        return float(field)

    def integer(self, name: str, default: int = 0) -> int:
        """Returns a number field as an integer, truncated toward zero.

        The default is returned for any other type.
        """
        return int(self.number(name, float(default)))

    def array(self, name: str) -> 'list[JsonValue]':
        """Returns an array field, or an empty list for any other type."""
        field = self.raw.get(name)
        return field if isinstance(field, list) else []

    def texts(self, name: str) -> tuple[str, ...]:
        """Returns the elements of an array field, converted to strings."""
        return tuple(str(element) for element in self.array(name))

    def child(self, name: str) -> 'Fields':
        """Returns a nested object, or an empty one for any other type."""
        field = self.raw.get(name)
        return Fields(field if isinstance(field, dict) else {})

    def children(self, name: str) -> 'tuple[Fields, ...]':
        """Returns the objects of an array field, skipping other elements."""
        return tuple(
            Fields(element)
            for element in self.array(name)
            if isinstance(element, dict)
        )
