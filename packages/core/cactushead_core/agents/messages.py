"""Messages between agents and voters."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import (
    Assignment,
    TaskOutcome,
    TaskRef,
    TaskReport,
    UpstreamSpec,
)


@wire_type(1)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """An agent announces its upstream and asks for a lease.

    Attributes:
        agent: Name of the agent, equal to its upstream's name.
        incarnation: Incarnation of the agent process.
        term: Newest term that the agent has adopted.
        sent_s: The agent's own monotonic clock.
        upstream: The upstream; None while its health check fails.
        leaving: Whether the agent takes no new work.
    """

    agent: str
    incarnation: str
    term: int
    sent_s: float
    upstream: UpstreamSpec | None
    leaving: bool


@wire_type(2)
@dataclass(frozen=True, slots=True)
class LeaseGranted(Message):
    """The leader lets an agent start tasks for a while.

    Attributes:
        term: The leader's term.
        incarnation: Incarnation of the agent that the lease is for.
        echo_s: `sent_s` of the heartbeat, on the agent's clock.
        lease_s: Duration of the lease from `echo_s`.
    """

    term: int
    incarnation: str
    echo_s: float
    lease_s: float


@wire_type(3)
@dataclass(frozen=True, slots=True)
class ReportRequested(Message):
    """The leader asks what an agent started.

    Explanation:
        The agent adopts the term and epoch and refuses assignments of
        earlier ones, so that a task missing in its report can't start later.

    Attributes:
        term: The leader's term.
        epoch: Number of the report within the term, from 1.
        incarnation: Incarnation of the agent that shall report.
        leader: Name of the leader.
    """

    term: int
    epoch: int
    incarnation: str
    leader: str


@wire_type(4)
@dataclass(frozen=True, slots=True)
class StartReport(Message):
    """All tasks that an agent has a record of.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation of the agent process.
        term: The term that the agent has adopted.
        epoch: The epoch that the agent has adopted.
        tasks: Its records.
    """

    agent: str
    incarnation: str
    term: int
    epoch: int
    tasks: tuple[TaskReport, ...]


@wire_type(5)
@dataclass(frozen=True, slots=True)
class Assign(Message):
    """Tasks for an agent to start.

    Attributes:
        term: The leader's term.
        epoch: Number of the agent's last report within the term.
        incarnation: Incarnation of the agent that shall start them.
        echo_s: `sent_s` of the newest heartbeat that the leader had; the
            agent refuses an assignment that is older than its lease.
        tasks: The assignments.
    """

    term: int
    epoch: int
    incarnation: str
    echo_s: float
    tasks: tuple[Assignment, ...]


@wire_type(6)
@dataclass(frozen=True, slots=True)
class Outcomes(Message):
    """Outcomes of tasks, repeated until they are acknowledged.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation of the agent process.
        outcomes: The outcomes.
    """

    agent: str
    incarnation: str
    outcomes: tuple[TaskOutcome, ...]


@wire_type(7)
@dataclass(frozen=True, slots=True)
class Acknowledge(Message):
    """The leader has the outcomes for good.

    Attributes:
        term: The leader's term.
        task_ids: Ids of the tasks.
    """

    term: int
    task_ids: tuple[str, ...]


@wire_type(8)
@dataclass(frozen=True, slots=True)
class CancelTasks(Message):
    """Tasks that an agent shall recall or stop.

    Explanation:
        The agent answers each with an outcome: `REFUSED` when it never
        started and never will, else how the run ended.

    Attributes:
        term: The leader's term.
        incarnation: Incarnation of the agent that shall act.
        tasks: The tasks.
    """

    term: int
    incarnation: str
    tasks: tuple[TaskRef, ...]


@wire_type(9)
@dataclass(frozen=True, slots=True)
class LeaderHint(Message):
    """A voter tells which leader it knows.

    Attributes:
        term: The voter's term.
        leader: Name of the leader, empty when unknown.
    """

    term: int
    leader: str


@wire_type(11)
@dataclass(frozen=True, slots=True)
class StopStale(Message):
    """Tasks of an agent's earlier incarnation that its upstream may run.

    Explanation:
        Their slots count as occupied until the agent answers each with a
        `CANCELLED` outcome, which it gives once the upstream has stopped it.

    Attributes:
        term: The leader's term.
        incarnation: Incarnation of the agent that shall act.
        tasks: The tasks.
    """

    term: int
    incarnation: str
    tasks: tuple[TaskRef, ...]
