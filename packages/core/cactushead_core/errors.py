"""Exceptions and findings shared by all parts."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing wrong with an input, with its place.

    Examples:
        >>> str(Finding('tasks[2].cores', 'must be above 0, got -1'))
        'tasks[2].cores: must be above 0, got -1'

    Attributes:
        place: Path of the offending value, such as `limits.queue_tasks`.
        finding: What is wrong, naming the offending value.
    """

    place: str
    finding: str

    def __str__(self) -> str:
        """Returns the place and the finding on one line."""
        return f'{self.place}: {self.finding}'


class CactusheadError(Exception):
    """Base class of all errors that the project raises."""


class InvalidInputError(CactusheadError):
    """An input with one or more findings, reported together.

    Examples:
        >>> error = InvalidInputError('settings', [Finding('port', 'missing')])
        >>> str(error)
        'settings: port: missing'
    """

    def __init__(self, subject: str, findings: Iterable[Finding]) -> None:
        """Keeps the findings for reports.

        Args:
            subject: What was checked, such as `settings` or a file name.
            findings: All findings, in the order of the input.
        """
        self.subject = subject
        self.findings = tuple(findings)
        listing = '; '.join(str(finding) for finding in self.findings)
        super().__init__(f'{subject}: {listing}')


class SettingsError(InvalidInputError):
    """Settings that a process can't start with."""


class DocumentError(InvalidInputError):
    """A service document that breaks its schema."""


class RequestError(InvalidInputError):
    """A caller's request that breaks its schema."""


class FrameError(CactusheadError):
    """A frame from a peer that doesn't decode to known messages."""


class StorageError(CactusheadError):
    """The data folder can't be read or written."""


class CorruptRecordError(StorageError):
    """A stored record whose checksum doesn't match, away from the tail."""

    def __init__(self, path: str, offset_bytes: int) -> None:
        """Names the place of the damage.

        Args:
            path: The damaged file.
            offset_bytes: Offset of the record in the file.
        """
        self.path = path
        self.offset_bytes = offset_bytes
        super().__init__(f'damaged record in {path} at byte {offset_bytes}')
