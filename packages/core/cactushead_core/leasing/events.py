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
    """The upstream said that it ends now.

    Attributes:
        upstream: Id of the upstream.
    """

    upstream: str


@dataclass(frozen=True, slots=True)
class StartCallCompleted(Event):
    """A start call is over.

    Attributes:
        upstream: The life that it was meant for.
        task: The task.
        run: Number of the run.
        answer: What is known of it.
        clock_ms: The upstream's clock, -1 without an answer.
        cause: Short text for logs; empty when it started.
    """

    upstream: UpstreamIdentity
    task: TaskRef
    run: int
    answer: StartAnswer
    clock_ms: int = -1
    cause: str = ''


@dataclass(frozen=True, slots=True)
class StopCallCompleted(Event):
    """A stop call is over.

    Attributes:
        upstream: The life that it was meant for.
        task: The task.
        run: Number of the run.
        confirmed: Whether the upstream will refuse that run from now on.
    """

    upstream: UpstreamIdentity
    task: TaskRef
    run: int
    confirmed: bool


@dataclass(frozen=True, slots=True)
class LeasesRenewed(Event):
    """The upstream answered a renewal.

    Attributes:
        upstream: The life that answered.
        sent_s: When the call was sent, by the agent's clock.
        clock_ms: The upstream's clock.
        running: Runs that are running.
        ended: Ends that it was not told to forget.
    """

    upstream: UpstreamIdentity
    sent_s: float
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]


@dataclass(frozen=True, slots=True)
class RenewalFailed(Event):
    """A renewal got no answer that can be used.

    Attributes:
        upstream: The life that it was meant for.
        refused: Whether nobody listens at the address, or another life does.
        fenced: Whether a higher fencing token was seen.
        cause: Short text for logs.
    """

    upstream: UpstreamIdentity
    refused: bool
    fenced: bool
    cause: str
