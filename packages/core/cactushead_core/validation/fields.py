"""Typed access to JSON objects that collects findings with places."""

import dataclasses
import math
from typing import Any, TypeVar

from ..errors import Finding
from .strict_json import ROOT_PLACE, child_place, item_place

_Data = TypeVar('_Data')
_MISSING = object()
MAX_SHOWN_CHARS = 40


class FieldReader:
    """Reads and validates the fields of one JSON object.

    Explanation:
        Each method reads one field. For an invalid value it adds a finding
        and returns a substitute of the right type, so that reading
        continues and all findings are reported together. `close` reports
        the fields that were not read, which are unknown.

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
        """Creates a reader of an object.

        Args:
            content: The parsed JSON value.
            place: Its place in the input, empty for the input itself.
            findings: List that findings are appended to.
        """
        self.place = place
        self.findings = findings
        self._members: dict[str, Any] = {}
        self._read_names: set[str] = set()
        if isinstance(content, dict):
            self._members = content
        else:
            self._add_finding(
                place or ROOT_PLACE,
                f'must be an object, got {shorten(content)}',
            )

    def has(self, name: str) -> bool:
        """Whether the object has a field."""
        return name in self._members

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a string field that is not empty.

        Args:
            name: Name of the field.
            default: Value for a missing field; None makes it required.
        """
        found = self._read_field(name, default)
        if found is _MISSING:
            return ''
        if isinstance(found, str) and (found or found == default):
            return found
        return self._reject(name, 'must be a text that is not empty', found, '')

    def choice(
        self,
        name: str,
        choices: tuple[str, ...],
        default: str,
    ) -> str:
        """Returns a string field with one of several values.

        Args:
            name: Name of the field.
            choices: The allowed values.
            default: Value for a missing field.
        """
        found = self._read_field(name, default)
        if isinstance(found, str) and found in choices:
            return found
        listing = ', '.join(choices)
        return self._reject(name, f'must be one of {listing}', found, default)

    def integer(
        self,
        name: str,
        *,
        lowest: int,
        highest: int,
        default: int | None = None,
    ) -> int:
        """Returns an integer field within inclusive bounds."""
        found = self._read_field(name, default)
        if found is _MISSING:
            return lowest
        if isinstance(found, bool) or not isinstance(found, int):
            return self._reject(name, 'must be a whole number', found, lowest)
        if lowest <= found <= highest:
            return found
        rule = f'must be from {lowest} to {highest}'
        return self._reject(name, rule, found, lowest)

    def number(
        self,
        name: str,
        *,
        highest: float,
        default: float,
    ) -> float:
        """Returns a finite number field above 0, up to an inclusive bound."""
        found = self._read_field(name, default)
        is_number = isinstance(found, int | float)
        if isinstance(found, bool) or not is_number:
            return self._reject(name, 'must be a number', found, default)
        if math.isfinite(found) and 0 < found <= highest:
            return float(found)
        rule = f'must be above 0 and up to {highest:g}'
        return self._reject(name, rule, found, default)

    def flag(self, name: str, *, default: bool) -> bool:
        """Returns a Boolean field."""
        found = self._read_field(name, default)
        if isinstance(found, bool):
            return found
        return self._reject(name, 'must be true or false', found, default)

    def section(self, name: str, *, required: bool = True) -> 'FieldReader':
        """Returns a reader of a field that is an object."""
        found = self._read_field(name, None if required else {})
        place = child_place(self.place, name)
        if found is _MISSING:
            # The findings of this reader are dropped, so that the fields of a
            # missing object are not reported as missing too.
            return FieldReader({}, place, [])
        return FieldReader(found, place, self.findings)

    def sections(self, name: str, *, highest: int) -> list['FieldReader']:
        """Returns readers of a field that is an array of objects.

        Args:
            name: Name of the field.
            highest: Largest number of objects; the smallest is 1.
        """
        found = self._read_field(name, None)
        place = child_place(self.place, name)
        if found is _MISSING:
            return []
        if not isinstance(found, list):
            return self._reject(name, 'must be an array', found, [])
        if not 1 <= len(found) <= highest:
            rule = f'must have from 1 to {highest} items'
            self.add(name, f'{rule}, got {len(found)}')
        return [
            FieldReader(element, item_place(place, index), self.findings)
            for index, element in enumerate(found)
        ]

    def texts(self, name: str) -> list[str]:
        """Returns a field that is an array of strings."""
        found = self._read_field(name, None)
        if found is _MISSING:
            return []
        if isinstance(found, list) and all(
            isinstance(element, str) for element in found
        ):
            return found
        return self._reject(name, 'must be an array of texts', found, [])

    def array(self, name: str) -> list[Any]:
        """Returns an optional field that is an array of any values."""
        found = self._read_field(name, [])
        if isinstance(found, list):
            return found
        return self._reject(name, 'must be an array', found, [])

    def texts_by_name(self, name: str) -> dict[str, str]:
        """Returns an optional field that is an object of string values."""
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
        """Returns a data class filled from an object of optional numbers.

        Args:
            name: Name of the field, an object that may be missing.
            data_type: Data class with a default for each field.
            highest: Upper bound of each number; the numbers are above 0.
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
        """Returns a number with the type and default of a data class field."""
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
        self._add_finding(child_place(self.place, name), finding)

    def close(self) -> None:
        """Reports the fields that were not read."""
        for name in self._members:
            if name not in self._read_names:
                self.add(name, 'unknown field')

    def _read_field(self, name: str, default: Any) -> Any:
        """Returns the value of a field, or reports it as missing."""
        self._read_names.add(name)
        if name in self._members:
            return self._members[name]
        if default is None:
            self.add(name, 'missing')
            return _MISSING
        return default

    def _reject(self, name: str, rule: str, found: Any, substitute: Any) -> Any:
        """Adds a finding about a wrong value and returns the substitute."""
        self.add(name, f'{rule}, got {shorten(found)}')
        return substitute

    def _add_finding(self, place: str, finding: str) -> None:
        self.findings.append(Finding(place, finding))


def shorten(content: Any) -> str:
    """Returns a short description of a JSON value for a finding.

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
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f'{text[:MAX_SHOWN_CHARS]}...'
