"""Errors of the HTTP client and of the command line."""

from collections.abc import Sequence

from cactushead_core.errors import CactusheadError, Finding

from .responses import JobView


class UsageError(CactusheadError):
    """An invalid command line, or an input file that can't be used."""


class ClientError(CactusheadError):
    """Base class of errors in requests to the entries."""


class EntryError(ClientError):
    """One entry returned no response.

    Attributes:
        entry: Address of the entry.
        cause: Name and text of the transport's error.
        may_have_arrived: Whether the entry may have received the request.
    """

    may_have_arrived = True

    def __init__(self, entry: str, cause: str) -> None:
        """Makes the error's text from the entry and the cause."""
        self.entry = entry
        self.cause = cause
        super().__init__(f'{entry}: {cause}')


class EntryUnreachableError(EntryError):
    """The request was not sent, as no connection was available."""

    may_have_arrived = False


class RequestInterruptedError(EntryError):
    """The connection failed or timed out after sending had started."""


class NoEntryAnswersError(ClientError):
    """None of the entries returned a response.

    Examples:
        >>> error = NoEntryAnswersError([
        ...     EntryUnreachableError('http://127.0.0.1:1', 'refused'),
        ... ])
        >>> str(error)
        'no entry answers, tried http://127.0.0.1:1 (refused)'
        >>> error.may_have_arrived
        False
    """

    def __init__(self, failures: Sequence[EntryError]) -> None:
        """Makes the error's text from the failure of each entry.

        Args:
            failures: One failure per entry, in the order of the attempts.
        """
        self.failures = tuple(failures)
        tried = ', '.join(
            f'{failure.entry} ({failure.cause})' for failure in failures
        )
        note = ''
        if self.may_have_arrived:
            note = '; the request may have arrived, resend it with the same key'
        super().__init__(f'no entry answers, tried {tried}{note}')

    @property
    def may_have_arrived(self) -> bool:
        """Whether an entry may have received the request."""
        return any(failure.may_have_arrived for failure in self.failures)


class RefusedError(ClientError):
    """An entry returned an error response.

    The request was refused, or its outcome is unknown to the entry.

    Attributes:
        status: HTTP status.
        reason: The entry's text of the error.
        not_run: Whether it is certain that no task was or will be started.
        findings: What is wrong with the input, if the input is invalid.
        retry_after_s: Time to wait before a retry, 0 if not given.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        not_run: bool,
        findings: Sequence[Finding] = (),
        retry_after_s: float = 0.0,
    ) -> None:
        """Stores the fields of the error response."""
        self.status = status
        self.reason = reason
        self.not_run = not_run
        self.findings = tuple(findings)
        self.retry_after_s = retry_after_s
        super().__init__(f'refused with {status}: {reason}')


class JobFailedError(ClientError):
    """The job ended in the state `failed`.

    Attributes:
        view: State of the job.
    """

    def __init__(self, view: JobView) -> None:
        """Makes the error's text from the job's key and error."""
        self.view = view
        super().__init__(f'job {view.key} failed: {view.error}')


class InvalidResponseError(ClientError):
    """An entry's response doesn't match the format of the API."""

    def __init__(self, status: int, cause: str) -> None:
        """Makes the error's text from the status and the parsing error."""
        self.status = status
        super().__init__(f'invalid response with status {status}: {cause}')
