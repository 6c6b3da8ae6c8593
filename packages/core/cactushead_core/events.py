"""Events that the I/O shell passes to a reducer.

Explanation:
    Reducers get time, identities and random values only as fields of
    events, so that they are deterministic. `now_s` is the process's monotonic
    clock, in seconds.
"""

from dataclasses import dataclass
from enum import StrEnum

from .agents.model import TaskOutcome, UpstreamSpec
from .documents.model import ServiceDocument
from .jobs.model import JobId, JobRequest
from .messages.base import Message


class PeerRole(StrEnum):
    """Role of a peer process."""

    ENTRY = 'entry'
    AGENT = 'agent'


@dataclass(frozen=True, slots=True)
class Peer:
    """A process at the other end of a link.

    Attributes:
        name: Name of the process.
        role: Role of the process.
        incarnation: Incarnation of the process.
    """

    name: str
    role: PeerRole
    incarnation: str


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of all events.

    Attributes:
        now_s: Reading of the process's monotonic clock, in seconds.
    """

    now_s: float


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """The periodic timer fired."""


@dataclass(frozen=True, slots=True)
class TurnEnded(Event):
    """All pending events of an event-loop turn are reduced; send batches."""


@dataclass(frozen=True, slots=True)
class MessageInProgress(Event):
    """A part of a large message arrived; the message follows when complete.

    Attributes:
        sender: The peer that sends it.
    """

    sender: Peer


@dataclass(frozen=True, slots=True)
class ProcessResumed(Event):
    """The process was paused; precedes the next event.

    Attributes:
        paused_s: Time of the last event before the pause.
    """

    paused_s: float


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """The operator or platform asks the process to stop gracefully."""


@dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A link to a peer is established."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The last link to a peer is lost."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class MessageReceived(Event):
    """A peer sent a message."""

    sender: Peer
    message: Message


@dataclass(frozen=True, slots=True)
class CallerEvent(Event):
    """Base class of requests from callers and operators.

    Attributes:
        request_id: Number that matches the response to the waiting request.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class JobSubmitted(CallerEvent):
    """A caller submits a job.

    Attributes:
        request: The validated submission.
        wait: Whether the caller waits for the answer.
    """

    request: JobRequest
    wait: bool


@dataclass(frozen=True, slots=True)
class JobQueried(CallerEvent):
    """A caller asks for a job's state."""

    job: JobId


@dataclass(frozen=True, slots=True)
class JobCancelRequested(CallerEvent):
    """A caller cancels a job."""

    job: JobId


@dataclass(frozen=True, slots=True)
class DocumentSubmitted(CallerEvent):
    """An operator submits a document."""

    document: ServiceDocument


@dataclass(frozen=True, slots=True)
class DocumentsQueried(CallerEvent):
    """An operator asks for documents; an empty service means all."""

    service: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected(CallerEvent):
    """The caller of a request closed its connection."""


@dataclass(frozen=True, slots=True)
class LogSynced(Event):
    """The log is synced to disk up to an index.

    Attributes:
        term: Term of the entry at the index.
        index: Index of the last synced entry.
    """

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class VoteSaved(Event):
    """The term and vote are synced to disk."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SnapshotSaved(Event):
    """A snapshot is synced to disk and replaces the log up to its index."""

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class UpstreamChecked(Event):
    """The agent's health check of its upstream is complete.

    Attributes:
        upstream: Specification of the upstream; None if the check failed.
    """

    upstream: UpstreamSpec | None


@dataclass(frozen=True, slots=True)
class RunEnded(Event):
    """A run at the upstream ended."""

    outcome: TaskOutcome


@dataclass(frozen=True, slots=True)
class StopEnded(Event):
    """The upstream answered a stop request, or is unreachable.

    Attributes:
        task_id: Id of the task.
        stopped: Whether the upstream confirmed that the task is not running.
    """

    task_id: str
    stopped: bool
