"""Value objects of an upstream that runs tasks under leases."""

from dataclasses import dataclass
from enum import StrEnum

from ..tasks import Resources, RunEnd, TaskRef


@dataclass(frozen=True, slots=True)
class UpstreamIdentity:
    """One incarnation of an upstream.

    Explanation:
        An upstream may restart with the same id and address; its start time
        distinguishes the incarnations.

    Attributes:
        upstream: Id chosen by the upstream.
        started_ms: Start time reported by the upstream.
    """

    upstream: str
    started_ms: int


class UpstreamState(StrEnum):
    """State that an upstream reports."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class PlacementBasis:
    """What an entry knows of an upstream when it places tasks there.

    Explanation:
        A task that was placed on one basis may not start on another one. Room
        isn't part of it, since the agent compares that itself.

    Attributes:
        identity: Incarnation of the upstream.
        service: Its service.
        labels: Its labels.
    """

    identity: UpstreamIdentity
    service: str
    labels: tuple[str, ...]

    def is_same_kind(self, other: 'PlacementBasis') -> bool:
        """Whether two bases differ in the incarnation at most."""
        return (self.service, self.labels) == (other.service, other.labels)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of an upstream.

    Attributes:
        identity: Incarnation of the upstream.
        sequence: Number of the heartbeat within the incarnation.
        service: Service that it belongs to.
        state: State that it reports.
        capacity: Resources for tasks.
        labels: Its labels.
        address: Host and port at which it accepts calls.
        clock_ms: Reading of its monotonic clock; -1 if not reported.
    """

    identity: UpstreamIdentity
    sequence: int
    service: str
    state: UpstreamState
    capacity: Resources
    labels: tuple[str, ...]
    address: str
    clock_ms: int = -1

    @property
    def basis(self) -> PlacementBasis:
        """What tasks are placed on."""
        return PlacementBasis(self.identity, self.service, self.labels)


class StartAnswer(StrEnum):
    """Result of a start call.

    Attributes:
        STARTED: The run was started.
        REFUSED: The upstream did not start the run and won't do so later.
        FENCED: The upstream has seen a higher fencing token.
        OTHER_INCARNATION: Another incarnation of the upstream answered.
        UNKNOWN: No answer; the call may still be executed later.
    """

    STARTED = 'started'
    REFUSED = 'refused'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other life'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that an upstream lists as running.

    Attributes:
        task: The task.
        run: Number of the run.
        percent: Progress reported by the upstream, -1 if not reported.
    """

    task: TaskRef
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run in an upstream's list of ended runs.

    Attributes:
        number: Its number in the list; increases within an incarnation.
        task: The task.
        run: Number of the run.
        end: How it ended.
    """

    number: int
    task: TaskRef
    run: int
    end: RunEnd
