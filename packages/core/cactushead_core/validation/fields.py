"""A small reader of JSON objects that collects findings with places."""

import dataclasses
import math
from typing import Any, TypeVar

from ..errors import Finding
from .strict_json import ROOT_PLACE, child_place, item_place

_Data = TypeVar('_Data')
_MISSING = object()
LONGEST_SHOWN = 40


class FieldReader:
    """Reads the fields of one JSON object.

    Explanation:
        Each method takes one field, adds a finding when it is wrong, and
        then returns a value of the right type, so that reading goes on and
        all findings are reported together. `close` reports the fields that
        nothing has read.

    Examples:
        >>> findings = []
        >>> reader = FieldReader({'port': 0, 'hots': 'x'}, '', findings)
        >>> reader.integer('port', lowest=1, highest=65535)
        1
        >>> reader.close()
        >>> for found in findings:
        ...     print(found)
        port: must be from 1 to 65535, got 0
        hots: unknown field
    """

    def __init__(
        self,
        content: Any,
        place: str,
        findings: list[Finding],
    ) -> None:
        """Starts reading an object.

        Args:
            content: The parsed JSON value.
            place: Its place in the whole input, empty for the input itself.
            findings: Where findings are added.
        """
        self.place = place
        self.findings = findings
        self._members: dict[str, Any] = {}
        self._read: set[str] = set()
        if isinstance(content, dict):
            self._members = content
        else:
            self._add_at(
                place or ROOT_PLACE,
                f'must be an object, got {shorten(content)}',
            )

    def has(self, name: str) -> bool:
        """Whether the object has a field."""
        return name in self._members

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a text that is not empty.

        Args:
            name: Name of the field.
            default: Value for a missing field; None makes it required.
        """
        found = self._take(name, default)
        if found is _MISSING:
            return ''
        if isinstance(found, str) and (found or found == default):
            return found
        return self._wrong(name, 'must be a text that is not empty', found, '')

    def choice(
        self,
        name: str,
        choices: tuple[str, ...],
        default: str,
    ) -> str:
        """Returns one of several texts.

        Args:
            name: Name of the field.
            choices: The texts.
            default: Value for a missing field.
        """
        found = self._take(name, default)
        if isinstance(found, str) and found in choices:
            return found
        listing = ', '.join(choices)
        return self._wrong(name, f'must be one of {listing}', found, default)

    def integer(
        self,
        name: str,
        *,
        lowest: int,
        highest: int,
        default: int | None = None,
    ) -> int:
        """Returns a whole number within bounds, both included."""
        found = self._take(name, default)
        if found is _MISSING:
            return lowest
        if isinstance(found, bool) or not isinstance(found, int):
            return self._wrong(name, 'must be a whole number', found, lowest)
        if lowest <= found <= highest:
            return found
        rule = f'must be from {lowest} to {highest}'
        return self._wrong(name, rule, found, lowest)

    def number(
        self,
        name: str,
        *,
        highest: float,
        default: float,
    ) -> float:
        """Returns a finite number above 0, up to a bound."""
        found = self._take(name, default)
        is_number = isinstance(found, int | float)
        if isinstance(found, bool) or not is_number:
            return self._wrong(name, 'must be a number', found, default)
        if math.isfinite(found) and 0 < found <= highest:
            return float(found)
        rule = f'must be above 0 and up to {highest:g}'
        return self._wrong(name, rule, found, default)

    def flag(self, name: str, *, default: bool) -> bool:
        """Returns a truth value."""
        found = self._take(name, default)
        if isinstance(found, bool):
            return found
        return self._wrong(name, 'must be true or false', found, default)

    def section(self, name: str, *, required: bool = True) -> 'FieldReader':
        """Returns a reader of a field that is an object."""
        found = self._take(name, None if required else {})
        place = child_place(self.place, name)
        if found is _MISSING:
            # Its fields are not reported as missing one by one.
            return FieldReader({}, place, [])
        return FieldReader(found, place, self.findings)

    def sections(self, name: str, *, highest: int) -> list['FieldReader']:
        """Returns readers of a field that is an array of objects.

        Args:
            name: Name of the field.
            highest: Largest number of objects; the smallest is 1.
        """
        found = self._take(name, None)
        place = child_place(self.place, name)
        if found is _MISSING:
            return []
        if not isinstance(found, list):
            return self._wrong(name, 'must be an array', found, [])
        if not 1 <= len(found) <= highest:
            rule = f'must have from 1 to {highest} items'
            self.add(name, f'{rule}, got {len(found)}')
        return [
            FieldReader(element, item_place(place, index), self.findings)
            for index, element in enumerate(found)
        ]

    def texts(self, name: str) -> list[str]:
        """Returns a field that is an array of texts."""
        found = self._take(name, None)
        if found is _MISSING:
            return []
        if isinstance(found, list) and all(
            isinstance(element, str) for element in found
        ):
            return found
        return self._wrong(name, 'must be an array of texts', found, [])

    def array(self, name: str) -> list[Any]:
        """Returns an optional field that is an array of anything."""
        found = self._take(name, [])
        if isinstance(found, list):
            return found
        return self._wrong(name, 'must be an array', found, [])

    def texts_by_name(self, name: str) -> dict[str, str]:
        """Returns an optional field that is an object of texts."""
        reader = self.section(name, required=False)
        texts = {member: reader.text(member) for member in list(reader.names())}
        reader.close()
        return texts

    def positive_fields(
        self,
        name: str,
        data_type: type[_Data],
        highest: float,
    ) -> _Data:
        """Returns a data class whose fields are optional numbers above 0.

        Args:
            name: Name of the field, an object that may be missing.
            data_type: Data class with a default for each field.
            highest: Bound of each number.
        """
        reader = self.section(name, required=False)
        numbers: dict[str, float] = {}
        for field in dataclasses.fields(data_type):  # type: ignore[arg-type]
            numbers[field.name] = reader.number_like_default(field, highest)
        reader.close()
        return data_type(**numbers)

    def number_like_default(
        self, field: dataclasses.Field[Any], highest: float
    ) -> float:
        """Returns a number of the type of a data class field's default."""
        if isinstance(field.default, int):
            return self.integer(
                field.name,
                lowest=1,
                highest=int(highest),
                default=field.default,
            )
        return self.number(field.name, highest=highest, default=field.default)

    def names(self) -> list[str]:
        """Returns the names of the object's fields."""
        return list(self._members)

    def add(self, name: str, finding: str) -> None:
        """Adds a finding about a field."""
        self._add_at(child_place(self.place, name), finding)

    def close(self) -> None:
        """Reports the fields that were not read."""
        for name in self._members:
            if name not in self._read:
                self.add(name, 'unknown field')

    def _take(self, name: str, default: Any) -> Any:
        self._read.add(name)
        if name in self._members:
            return self._members[name]
        if default is None:
            self.add(name, 'missing')
            return _MISSING
        return default

    def _wrong(self, name: str, rule: str, found: Any, instead: Any) -> Any:
        self.add(name, f'{rule}, got {shorten(found)}')
        return instead

    def _add_at(self, place: str, finding: str) -> None:
        self.findings.append(Finding(place, finding))


def shorten(content: Any) -> str:
    """Returns a JSON value as a short text for a finding.

    Examples:
        >>> shorten('a' * 50)
        "'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa..."
        >>> shorten({'a': 1})
        'an object'
    """
    if isinstance(content, dict):
        return 'an object'
    if isinstance(content, list):
        return 'an array'
    if content is None:
        return 'null'
    if isinstance(content, bool):
        return str(content).lower()
    text = repr(content)
    if len(text) <= LONGEST_SHOWN:
        return text
    return f'{text[:LONGEST_SHOWN]}...'
