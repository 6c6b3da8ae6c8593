"""Effects that a reducer asks the shell to perform, in order."""

import math
from dataclasses import dataclass, field

from .agents.model import Assignment
from .documents.model import ServiceDocument
from .jobs.model import JobAnswer, JobId, JobStatus, Refusal
from .messages.base import Message


@dataclass(frozen=True, slots=True)
class Effect:
    """Base class of all effects."""


@dataclass(frozen=True, slots=True)
class Send(Effect):
    """Sends a message to a peer; it is dropped when no link is up."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class Response:
    """Base class of answers to callers and operators."""


@dataclass(frozen=True, slots=True)
class AnswerResponse(Response):
    """The final state of a job."""

    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class AcceptedResponse(Response):
    """The job is admitted and goes on without the caller waiting."""

    job: JobId


@dataclass(frozen=True, slots=True)
class StatusResponse(Response):
    """The present state of a job."""

    status: JobStatus


@dataclass(frozen=True, slots=True)
class RefusalResponse(Response):
    """The request is refused, or its outcome is unknown."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class DocumentResponse(Response):
    """A document is accepted."""

    service: str
    version: int
    in_force: tuple[str, ...]
    pending: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DocumentsResponse(Response):
    """Documents in force."""

    documents: tuple[ServiceDocument, ...]


@dataclass(frozen=True, slots=True)
class Respond(Effect):
    """Answers a caller's or operator's request."""

    request_id: int
    response: Response


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        term: Term of the leader that appended it.
        index: Its place in the log, from 1.
        command: The encoded record; empty for none.
    """

    term: int
    index: int
    command: bytes


@dataclass(frozen=True, slots=True)
class AppendLog(Effect):
    """Appends entries to the log file and syncs; gives `LogSynced`.

    Explanation:
        Entries from the first index on are replaced, so that a conflicting
        tail is cut by the same effect.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveVote(Effect):
    """Writes and syncs the term and vote; gives `VoteSaved`."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SaveSnapshot(Effect):
    """Writes and syncs a snapshot, then drops the log up to its index.

    Attributes:
        term: Term of the last entry that the snapshot covers.
        index: Index of that entry.
        members: Encoded membership at that index.
        state: Encoded replicated state.
    """

    term: int
    index: int
    members: bytes
    state: bytes


@dataclass(frozen=True, slots=True)
class StartRun(Effect):
    """Sends a task to the upstream; gives `RunEnded`.

    Attributes:
        assignment: The task.
        start_by_s: Monotonic time after which the request may not be
            written; the run then ends as refused.
    """

    assignment: Assignment
    start_by_s: float = math.inf


@dataclass(frozen=True, slots=True)
class StopRun(Effect):
    """Asks the upstream to stop a task; gives `StopEnded`."""

    task_id: str


class EventKind:
    """Names of time line events."""

    SUBMITTED = 'job submitted'
    FORWARDED = 'job forwarded'
    ADMITTED = 'job admitted'
    ASSIGNED = 'task assigned'
    STARTED = 'task started'
    TASK_ENDED = 'task ended'
    OUTCOME_RECEIVED = 'task outcome received'
    JOB_ENDED = 'job ended'
    ANSWERED = 'job answered'
    CANCELLED = 'job cancelled'
    LEADER_ELECTED = 'leader elected'
    LEADER_LOST = 'leader lost'
    DOCUMENT_ACCEPTED = 'document accepted'
    DOCUMENT_IN_FORCE = 'document in force'
    UPSTREAM_ANNOUNCED = 'upstream announced'
    UPSTREAM_GONE = 'upstream gone'
    UPSTREAM_EJECTED = 'upstream ejected'
    UPSTREAM_READMITTED = 'upstream readmitted'
    LEASE_GRANTED = 'lease granted'
    DRAIN_STARTED = 'drain begun'
    DRAIN_COMPLETED = 'drain done'


@dataclass(frozen=True, slots=True)
class Record(Effect):
    """Adds an event to the process's time line.

    Attributes:
        kind: One of the names in `EventKind`.
        job: The job it is about, if any.
        task_index: The task it is about, -1 for none.
        subject: The upstream, service or process that it is about.
        detail: A short text, such as a cause or a version.
        logged: Whether the event is also a log line.
    """

    kind: str
    job: JobId | None = None
    task_index: int = -1
    subject: str = ''
    detail: str = ''
    logged: bool = field(default=False)


@dataclass(frozen=True, slots=True)
class Drained(Effect):
    """Nothing is in flight any more; the process may exit."""


@dataclass(frozen=True, slots=True)
class Measure(Effect):
    """Adds a duration to a histogram.

    Attributes:
        metric: Name of the histogram, such as `queue_wait_s`.
        duration_s: The duration.
    """

    metric: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class Count(Effect):
    """Adds to a counter.

    Attributes:
        metric: Name of the counter, such as `refusals`.
        label: What is counted, such as the cause of a refusal.
        amount: How many.
    """

    metric: str
    label: str = ''
    amount: int = 1
