"""Messages between entries and the leader about jobs."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import Attempt, JobAnswer, JobId, JobRequest, JobStatus, Refusal


@wire_type(20)
@dataclass(frozen=True, slots=True)
class SubmitJob(Message):
    """An entry forwards a submission to the leader.

    Attributes:
        attempt: Identity of the forwarded request.
        term: The leader's term as known to the entry; a leader of another
            term refuses the message, so that a delayed duplicate can't
            start tasks.
        request: The submission.
        age_s: Time since the caller's request reached the entry.
        wait: Whether the caller waits for the answer.
    """

    attempt: Attempt
    term: int
    request: JobRequest
    age_s: float
    wait: bool


@wire_type(21)
@dataclass(frozen=True, slots=True)
class JobAccepted(Message):
    """The job is admitted and committed; sent if the caller doesn't wait.

    Attributes:
        attempt: Identity of the forwarded request.
        status: The current state of the job.
    """

    attempt: Attempt
    status: JobStatus


@wire_type(22)
@dataclass(frozen=True, slots=True)
class JobAnswered(Message):
    """The final answer of a job.

    Attributes:
        attempt: Identity of the forwarded request.
        answer: The answer.
    """

    attempt: Attempt
    answer: JobAnswer


@wire_type(23)
@dataclass(frozen=True, slots=True)
class JobRefused(Message):
    """The leader refuses a request about a job.

    Attributes:
        attempt: Identity of the forwarded request.
        refusal: The refusal and its reason.
    """

    attempt: Attempt
    refusal: Refusal


@wire_type(24)
@dataclass(frozen=True, slots=True)
class QueryJob(Message):
    """An entry requests the state of a job.

    Attributes:
        attempt: Identity of the forwarded request.
        term: The leader's term as known to the entry.
        job: The job.
    """

    attempt: Attempt
    term: int
    job: JobId


@wire_type(25)
@dataclass(frozen=True, slots=True)
class CancelJob(Message):
    """An entry forwards a cancellation.

    Attributes:
        attempt: Identity of the forwarded request.
        term: The leader's term as known to the entry.
        job: The job.
    """

    attempt: Attempt
    term: int
    job: JobId


@wire_type(26)
@dataclass(frozen=True, slots=True)
class JobReported(Message):
    """The answer to `QueryJob`, and to `CancelJob` of a job in progress.

    Attributes:
        attempt: Identity of the forwarded request.
        status: The job's state.
    """

    attempt: Attempt
    status: JobStatus


@wire_type(27)
@dataclass(frozen=True, slots=True)
class TermMismatch(Message):
    """The sender is not the leader of the term named in a request.

    Explanation:
        The sender has not processed the request of the attempt in that term
        and never will.

    Attributes:
        attempt: Identity of the forwarded request.
        term: The sender's term.
        leader: Name of the leader known to the sender, empty for none.
    """

    attempt: Attempt
    term: int
    leader: str
