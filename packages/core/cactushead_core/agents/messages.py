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
    """An agent announces its upstream and requests a lease.

    Attributes:
        agent: Name of the agent, equal to the name of its upstream.
        incarnation: Incarnation of the agent process.
        term: Newest term that the agent has adopted.
        sent_s: Reading of the agent's monotonic clock when sent.
        upstream: The upstream, None while its health check fails.
        draining: Whether the agent is draining and accepts no new tasks.
    """

    agent: str
    incarnation: str
    term: int
    sent_s: float
    upstream: UpstreamSpec | None
    draining: bool


@wire_type(2)
@dataclass(frozen=True, slots=True)
class LeaseGranted(Message):
    """The leader grants an agent a lease to start tasks.

    Attributes:
        term: The leader's term.
        incarnation: Incarnation of the agent that the lease is for.
        echo_s: `sent_s` of the answered heartbeat, on the agent's clock.
        lease_s: Duration of the lease from `echo_s`.
    """

    term: int
    incarnation: str
    echo_s: float
    lease_s: float


@wire_type(3)
@dataclass(frozen=True, slots=True)
class ReportRequested(Message):
    """The leader requests a report of all tasks that an agent has started.

    Explanation:
        The agent adopts the term and epoch and ignores assignments of
        earlier ones, so that a task missing in its report can't start later.

    Attributes:
        term: The leader's term.
        epoch: Number of the report within the term, from 1.
        incarnation: Incarnation of the agent that must report.
        leader: Name of the leader.
    """

    term: int
    epoch: int
    incarnation: str
    leader: str


@wire_type(4)
@dataclass(frozen=True, slots=True)
class StartReport(Message):
    """All tasks of which an agent has an open record.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation of the agent process.
        term: The term that the agent has adopted.
        epoch: The epoch that the agent has adopted.
        tasks: The reported tasks.
    """

    agent: str
    incarnation: str
    term: int
    epoch: int
    tasks: tuple[TaskReport, ...]


@wire_type(5)
@dataclass(frozen=True, slots=True)
class Assign(Message):
    """The leader assigns tasks to an agent.

    Attributes:
        term: The leader's term.
        epoch: Number of the agent's last report within the term.
        incarnation: Incarnation of the agent that must start them.
        echo_s: `sent_s` of the newest heartbeat that the leader had received;
            the agent refuses an assignment that is older than its lease.
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
    """An agent reports outcomes, resent until they are acknowledged.

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
    """The leader confirms that outcomes are committed.

    Attributes:
        term: The leader's term.
        task_ids: Ids of the tasks.
    """

    term: int
    task_ids: tuple[str, ...]


@wire_type(8)
@dataclass(frozen=True, slots=True)
class CancelTasks(Message):
    """The leader cancels queued or running tasks of an agent.

    Explanation:
        The agent answers each task with an outcome: `REFUSED` if the task
        has not started and never will, else the outcome of the run.

    Attributes:
        term: The leader's term.
        incarnation: Incarnation of the agent that must act.
        tasks: The tasks.
    """

    term: int
    incarnation: str
    tasks: tuple[TaskRef, ...]


@wire_type(9)
@dataclass(frozen=True, slots=True)
class LeaderHint(Message):
    """A voter reports the leader that it knows.

    Attributes:
        term: The voter's term.
        leader: Name of the leader, empty when unknown.
    """

    term: int
    leader: str


@wire_type(11)
@dataclass(frozen=True, slots=True)
class StopStale(Message):
    """Tasks of an agent's earlier incarnation that may still be running.

    Explanation:
        Their slots count as occupied until the agent reports a `CANCELLED`
        outcome for each task, once the upstream has confirmed its stop.

    Attributes:
        term: The leader's term.
        incarnation: Incarnation of the agent that must act.
        tasks: The tasks.
    """

    term: int
    incarnation: str
    tasks: tuple[TaskRef, ...]
