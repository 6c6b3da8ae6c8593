"""Exceptions and validation findings shared by all packages."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One validation error of an input, with its place.

    Examples:
        >>> str(Finding('tasks[2].cores', 'must be above 0, got -1'))
        'tasks[2].cores: must be above 0, got -1'

    Attributes:
        place: Path of the invalid value, such as `limits.queue_tasks`.
        finding: Description of the error, with the invalid value.
    """

    place: str
    finding: str

    def __str__(self) -> str:
        """Returns the place and the finding on one line."""
        return f'{self.place}: {self.finding}'


class CactusheadError(Exception):
    """Base class of all errors that the project raises."""


class InvalidInputError(CactusheadError):
    """An input is invalid; all findings are reported together.

    Examples:
        >>> error = InvalidInputError('settings', [Finding('port', 'missing')])
        >>> str(error)
        'settings: port: missing'
    """

    def __init__(self, subject: str, findings: Iterable[Finding]) -> None:
        """Stores the findings and formats the message from them.

        Args:
            subject: What was validated, such as `settings` or a file name.
            findings: All findings, in the order of the input.
        """
        self.subject = subject
        self.findings = tuple(findings)
        listing = '; '.join(str(finding) for finding in self.findings)
        super().__init__(f'{subject}: {listing}')


class SettingsError(InvalidInputError):
    """The settings of a process are invalid."""


class DocumentError(InvalidInputError):
    """A service document does not match its schema."""


class RequestError(InvalidInputError):
    """A request of a caller does not match its schema."""


class FrameError(CactusheadError):
    """A frame of a peer can't be decoded to messages of known types."""


class StorageError(CactusheadError):
    """The data folder can't be read or written."""


class CorruptRecordError(StorageError):
    """A stored record that is not at the tail has a wrong checksum."""

    def __init__(self, path: str, offset_bytes: int) -> None:
        """Stores the position of the corrupt record.

        Args:
            path: The corrupt file.
            offset_bytes: Offset of the record in the file.
        """
        self.path = path
        self.offset_bytes = offset_bytes
        super().__init__(f'damaged record in {path} at byte {offset_bytes}')
