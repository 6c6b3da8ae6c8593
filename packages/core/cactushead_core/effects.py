"""Effects that a reducer returns and the I/O shell performs in order."""

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
    """Sends a message to a peer; it is dropped if no link is connected."""

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
    """The job is admitted and runs without the caller waiting."""

    job: JobId


@dataclass(frozen=True, slots=True)
class StatusResponse(Response):
    """The current state of a job."""

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
        index: Its position in the log, from 1.
        command: The encoded record; empty for none.
    """

    term: int
    index: int
    command: bytes


@dataclass(frozen=True, slots=True)
class AppendLog(Effect):
    """Appends entries to the log file and syncs; completes as `LogSynced`.

    Explanation:
        Stored entries from the first index on are replaced, so that the same
        effect truncates a conflicting tail.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class SaveVote(Effect):
    """Writes and syncs the term and vote; completes as `VoteSaved`."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SaveSnapshot(Effect):
    """Writes and syncs a snapshot, then truncates the log up to its index.

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
    """Sends a task to the upstream; completes as `RunEnded`.

    Attributes:
        assignment: The task.
        start_by_s: Deadline on the monotonic clock for writing the request,
            in seconds; after it, the run ends as refused.
    """

    assignment: Assignment
    start_by_s: float = math.inf


@dataclass(frozen=True, slots=True)
class StopRun(Effect):
    """Asks the upstream to stop a task; completes as `StopEnded`."""

    task_id: str


class EventKind:
    """Kinds of time line events."""

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
        kind: Kind of the event, one of `EventKind`.
        job: The job it is about, if any.
        task_index: The task it is about, -1 for none.
        subject: The upstream, service or process that it is about.
        detail: A short text, such as a cause or a version.
        logged: Whether the event is also written to the log.
    """

    kind: str
    job: JobId | None = None
    task_index: int = -1
    subject: str = ''
    detail: str = ''
    logged: bool = field(default=False)


@dataclass(frozen=True, slots=True)
class Drained(Effect):
    """The drain is complete: nothing is in flight and the process may exit."""


@dataclass(frozen=True, slots=True)
class Measure(Effect):
    """Records a duration in a histogram.

    Attributes:
        metric: Name of the histogram, such as `queue_wait_s`.
        duration_s: The duration.
    """

    metric: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class Count(Effect):
    """Increments a counter.

    Attributes:
        metric: Name of the counter, such as `refusals`.
        label: What is counted, such as the cause of a refusal.
        amount: Amount to add.
    """

    metric: str
    label: str = ''
    amount: int = 1
