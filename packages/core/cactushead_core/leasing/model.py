"""Value objects of an upstream that runs tasks under leases."""

from dataclasses import dataclass
from enum import StrEnum

from ..tasks import Resources, RunEnd, TaskRef


@dataclass(frozen=True, slots=True)
class UpstreamIdentity:
    """One life of an upstream.

    Explanation:
        An upstream may come back under its old id and address; the time of
        its start tells its lives apart.

    Attributes:
        upstream: Id that the upstream chose.
        born_ms: Time of its start, as the upstream states it.
    """

    upstream: str
    born_ms: int


class UpstreamState(StrEnum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat of an upstream.

    Attributes:
        identity: The upstream's life.
        sequence: Number of the heartbeat in that life.
        service: Service that it belongs to.
        state: What it says of itself.
        capacity: Room for tasks.
        labels: Its labels.
        address: Where it takes calls, as host and port.
        clock_ms: Its own steady clock; -1 when it doesn't say.
    """

    identity: UpstreamIdentity
    sequence: int
    service: str
    state: UpstreamState
    capacity: Resources
    labels: tuple[str, ...]
    address: str
    clock_ms: int = -1


class StartAnswer(StrEnum):
    """What is known of a start call.

    Attributes:
        STARTED: The run is there.
        REFUSED: The upstream did nothing and won't carry this start out.
        FENCED: It has seen a higher fencing token.
        OTHER_LIFE: Another life of the upstream answered.
        UNKNOWN: No answer; it may be carried out later.
    """

    STARTED = 'started'
    REFUSED = 'refused'
    FENCED = 'fenced'
    OTHER_LIFE = 'other life'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that an upstream lists as running.

    Attributes:
        task: The task.
        run: Number of the run.
        percent: Progress as the upstream states it, -1 if it doesn't.
    """

    task: TaskRef
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run's end in an upstream's list of ends.

    Attributes:
        number: Its number in the list; numbers rise in one life.
        task: The task.
        run: Number of the run.
        end: How it ended.
    """

    number: int
    task: TaskRef
    run: int
    end: RunEnd
