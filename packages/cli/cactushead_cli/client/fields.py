"""Reading of typed fields from decoded JSON objects."""

import json
from dataclasses import dataclass
from typing import TypeAlias

JsonValue: TypeAlias = (
    'dict[str, JsonValue] | list[JsonValue] | str | int | float | bool | None'
)
Number = int | float


@dataclass(frozen=True, slots=True)
class Fields:
    """A JSON object whose fields are read with a type and a default.

    Examples:
        >>> fields = Fields.decode(b'{"job": "k1", "tasks": 3}')
        >>> fields.text('job'), fields.whole('tasks'), fields.flag('not_run')
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
            ValueError: If the text is no JSON object.
        """
        decoded = json.loads(body)
        if isinstance(decoded, dict):
            return cls(decoded)
        raise ValueError(f'expected a JSON object, got {decoded!r:.40}')

    def text(self, name: str, default: str = '') -> str:
        """Returns a text field, or the default for any other type."""
        found = self.raw.get(name)
        return found if isinstance(found, str) else default

    def flag(self, name: str, default: bool = False) -> bool:
        """Returns a boolean field, or the default for any other type."""
        found = self.raw.get(name)
        return found if isinstance(found, bool) else default

    def number(self, name: str, default: float = 0.0) -> float:
        """Returns a number field, or the default for any other type."""
        found = self.raw.get(name)
        if isinstance(found, bool) or not isinstance(found, Number):
            return default
        return float(found)

    def whole(self, name: str, default: int = 0) -> int:
        """Returns a whole number field, or the default for another type."""
        return int(self.number(name, float(default)))

    def listed(self, name: str) -> 'list[JsonValue]':
        """Returns a list field, empty for any other type."""
        found = self.raw.get(name)
        return found if isinstance(found, list) else []

    def texts(self, name: str) -> tuple[str, ...]:
        """Returns the texts of a list field."""
        return tuple(str(found) for found in self.listed(name))

    def child(self, name: str) -> 'Fields':
        """Returns an object field, empty for any other type."""
        found = self.raw.get(name)
        return Fields(found if isinstance(found, dict) else {})

    def children(self, name: str) -> 'tuple[Fields, ...]':
        """Returns the objects of a list field."""
        return tuple(
            Fields(found)
            for found in self.listed(name)
            if isinstance(found, dict)
        )
