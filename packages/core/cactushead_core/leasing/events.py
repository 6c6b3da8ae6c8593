"""Events from an upstream that runs tasks under leases."""

from dataclasses import dataclass

from ..events import Event
from ..tasks import TaskRef
from .model import (
    EndRow,
    Heartbeat,
    RunningRow,
    StartAnswer,
    UpstreamIdentity,
)


@dataclass(frozen=True, slots=True)
class HeartbeatReceived(Event):
    """The upstream sent a heartbeat."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class UpstreamDeregistered(Event):
    """The upstream announced its shutdown.

    Attributes:
        upstream: Id of the upstream.
    """

    upstream: str


@dataclass(frozen=True, slots=True)
class StartCallCompleted(Event):
    """A start call was answered or failed.

    Attributes:
        upstream: Incarnation of the upstream that was called.
        task: The task.
        run: Number of the run.
        answer: Result of the call.
        clock_ms: The upstream's clock, -1 without an answer.
        cause: Short text for logs; empty if the run started.
    """

    upstream: UpstreamIdentity
    task: TaskRef
    run: int
    answer: StartAnswer
    clock_ms: int = -1
    cause: str = ''


@dataclass(frozen=True, slots=True)
class StopCallCompleted(Event):
    """A stop call was answered or failed.

    Attributes:
        upstream: Incarnation of the upstream that was called.
        task: The task.
        run: Number of the run.
        confirmed: Whether the upstream will refuse to start that run from now
            on.
    """

    upstream: UpstreamIdentity
    task: TaskRef
    run: int
    confirmed: bool


@dataclass(frozen=True, slots=True)
class LeasesRenewed(Event):
    """The upstream answered a renewal.

    Attributes:
        upstream: Incarnation that answered.
        sent_s: When the call was sent, by the agent's clock.
        clock_ms: The upstream's clock.
        running: Active runs.
        ended: Run ends that the agent has not acknowledged yet.
    """

    upstream: UpstreamIdentity
    sent_s: float
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]


@dataclass(frozen=True, slots=True)
class RenewalFailed(Event):
    """A renewal call failed or its answer was unusable.

    Attributes:
        upstream: Incarnation of the upstream that was called.
        refused: Whether the connection was refused or another incarnation
            answered.
        fenced: Whether the upstream has seen a higher fencing token.
        cause: Short text for logs.
        sent: Whether the call may have been sent. One that was not has renewed
            no lease.
    """

    upstream: UpstreamIdentity
    refused: bool
    fenced: bool
    cause: str
    sent: bool = True

    @property
    def replaced(self) -> bool:
        """Whether another incarnation answered."""
        return self.refused and self.sent
