"""Records of jobs, agents and documents in the replicated log."""

from dataclasses import dataclass

from ..documents.model import ServiceDocument
from ..messages.base import Message, wire_type
from .model import JobAnswer, JobId, JobRequest


@dataclass(frozen=True, slots=True)
class Placement:
    """The decision to run a task at an agent.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the placement among those of the task, from 1.
        agent: Name of the agent.
        incarnation: Incarnation of the agent.
    """

    job: JobId
    index: int
    start: int
    agent: str
    incarnation: str


@wire_type(80)
@dataclass(frozen=True, slots=True)
class TermStarted(Message):
    """First record of a leader's term; its commit commits earlier records.

    Attributes:
        term: The term.
        leader: Name of the leader.
    """

    term: int
    leader: str


@wire_type(81)
@dataclass(frozen=True, slots=True)
class JobAdmitted(Message):
    """A job is admitted, with the initial placements of its tasks.

    Attributes:
        request: The submission.
        document_version: Version of the document in force at admission.
        repeatable: Whether that version declares the request kind repeatable.
        placements: Placements of the tasks that start immediately.
    """

    request: JobRequest
    document_version: int
    repeatable: bool
    placements: tuple[Placement, ...]


@wire_type(82)
@dataclass(frozen=True, slots=True)
class TasksPlaced(Message):
    """Placements of tasks that waited or are placed again.

    Attributes:
        placements: The placements.
    """

    placements: tuple[Placement, ...]


@wire_type(83)
@dataclass(frozen=True, slots=True)
class JobEnded(Message):
    """A job ended with its final answer.

    Attributes:
        answer: The answer.
    """

    answer: JobAnswer


@wire_type(84)
@dataclass(frozen=True, slots=True)
class JobsExpired(Message):
    """Ended jobs are removed because their retention time has expired.

    Attributes:
        jobs: The jobs.
    """

    jobs: tuple[JobId, ...]


@wire_type(85)
@dataclass(frozen=True, slots=True)
class AgentRegistered(Message):
    """An incarnation of an agent is registered and may receive tasks.

    Attributes:
        agent: Name of the agent.
        incarnation: The incarnation; it replaces any earlier one.
    """

    agent: str
    incarnation: str


@wire_type(86)
@dataclass(frozen=True, slots=True)
class AgentRemoved(Message):
    """An incarnation of an agent is removed and gets no further lease.

    Attributes:
        agent: Name of the agent.
        incarnation: The incarnation.
    """

    agent: str
    incarnation: str


@wire_type(87)
@dataclass(frozen=True, slots=True)
class DocumentStored(Message):
    """A document is accepted.

    Attributes:
        document: The document.
    """

    document: ServiceDocument
