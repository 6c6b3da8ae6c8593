"""Errors of the client, each with the exit code of the command line."""

from collections.abc import Sequence

from cactushead_core.errors import CactusheadError, Finding

from .responses import JobView


class UsageError(CactusheadError):
    """A command line or an input file that can't be acted on."""


class ClientError(CactusheadError):
    """Base class of errors in talking to the entries."""


class EntryError(ClientError):
    """One entry gave no answer.

    Attributes:
        entry: Address of the entry.
        cause: What happened, in the words of the transport.
    """

    may_have_arrived = True

    def __init__(self, entry: str, cause: str) -> None:
        """Names the entry and the cause."""
        self.entry = entry
        self.cause = cause
        super().__init__(f'{entry}: {cause}')


class EntryUnreachableError(EntryError):
    """No connection to the entry, so the request was surely not sent."""

    may_have_arrived = False


class RequestInterruptedError(EntryError):
    """The connection broke or timed out after the request was begun."""


class NoEntryAnswersError(ClientError):
    """None of the addresses gave an answer.

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
        """Names all addresses that were tried.

        Args:
            failures: The failure of each entry, in the order of the tries.
        """
        self.failures = tuple(failures)
        tried = ', '.join(
            f'{failure.entry} ({failure.cause})' for failure in failures
        )
        note = ''
        if self.may_have_arrived:
            note = '; the request may have arrived, repeat it with its key'
        super().__init__(f'no entry answers, tried {tried}{note}')

    @property
    def may_have_arrived(self) -> bool:
        """Whether an entry may have received the request."""
        return any(failure.may_have_arrived for failure in self.failures)


class RefusedError(ClientError):
    """An entry refused the request or doesn't know its outcome.

    Attributes:
        status: HTTP status.
        reason: Why, in the entry's words.
        not_run: Whether it is certain that nothing was or can be started.
        findings: Places and findings, when the input is at fault.
        retry_after_s: When another try makes sense, 0 for unsaid.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        not_run: bool,
        findings: Sequence[Finding] = (),
        retry_after_s: float = 0.0,
    ) -> None:
        """Keeps the refusal's fields for reports."""
        self.status = status
        self.reason = reason
        self.not_run = not_run
        self.findings = tuple(findings)
        self.retry_after_s = retry_after_s
        super().__init__(f'refused with {status}: {reason}')


class JobFailedError(ClientError):
    """The job ended as failed.

    Attributes:
        view: The job.
    """

    def __init__(self, view: JobView) -> None:
        """Names the job and the cause."""
        self.view = view
        super().__init__(f'job {view.key} failed: {view.error}')


class InvalidResponseError(ClientError):
    """An entry's reply doesn't have the form of the interface."""

    def __init__(self, status: int, cause: str) -> None:
        """Names the status and what is wrong with the body."""
        self.status = status
        super().__init__(f'unreadable reply with status {status}: {cause}')
