"""Log records of jobs, agents and documents, replicated to all voters."""

from dataclasses import dataclass

from ..documents.model import ServiceDocument
from ..messages.base import Message, wire_type
from .model import JobAnswer, JobId, JobRequest


@dataclass(frozen=True, slots=True)
class Placement:
    """The decision to start a task at an agent.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of this placement of the task, from 1.
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
    """First record of a leader's term; commits all earlier records.

    Attributes:
        term: The term.
        leader: Name of the leader.
    """

    term: int
    leader: str


@wire_type(81)
@dataclass(frozen=True, slots=True)
class JobAdmitted(Message):
    """A job is accepted, with the first placements of its tasks.

    Attributes:
        request: The submission.
        document_version: Version of the document that it was admitted under.
        repeatable: Whether its kind is repeatable under that version.
        placements: Tasks that start at once.
    """

    request: JobRequest
    document_version: int
    repeatable: bool
    placements: tuple[Placement, ...]


@wire_type(82)
@dataclass(frozen=True, slots=True)
class TasksPlaced(Message):
    """Later placements of tasks that had to wait or are moved.

    Attributes:
        placements: The placements.
    """

    placements: tuple[Placement, ...]


@wire_type(83)
@dataclass(frozen=True, slots=True)
class JobEnded(Message):
    """A job has its final answer.

    Attributes:
        answer: The answer.
    """

    answer: JobAnswer


@wire_type(84)
@dataclass(frozen=True, slots=True)
class JobsExpired(Message):
    """Ended jobs whose time to be remembered is over.

    Attributes:
        jobs: The jobs.
    """

    jobs: tuple[JobId, ...]


@wire_type(85)
@dataclass(frozen=True, slots=True)
class AgentRegistered(Message):
    """An agent's incarnation may be given tasks.

    Attributes:
        agent: Name of the agent.
        incarnation: Its incarnation; it replaces an earlier one.
    """

    agent: str
    incarnation: str


@wire_type(86)
@dataclass(frozen=True, slots=True)
class AgentRemoved(Message):
    """An agent's incarnation is given up; it gets no lease any more.

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
