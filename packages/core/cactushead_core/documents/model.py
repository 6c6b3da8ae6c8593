"""Value objects of service documents."""

from dataclasses import dataclass
from enum import StrEnum


class ServiceState(StrEnum):
    """Whether a service accepts new jobs."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class StopRemainder(StrEnum):
    """What happens to jobs that are unfinished after the drain period."""

    CANCEL = 'cancel'
    FINISH = 'finish'


@dataclass(frozen=True, slots=True)
class Label:
    """A name and a value that an upstream announces, used by selectors."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects the announced upstreams that serve a service.

    Explanation:
        An upstream matches when its name is listed (or no names are
        listed) and it has every label.

    Attributes:
        names: Upstream names, empty for any.
        labels: Labels that must all be present.
    """

    names: tuple[str, ...] = ()
    labels: tuple[Label, ...] = ()


@dataclass(frozen=True, slots=True)
class Limits:
    """Admission and concurrency limits of a service.

    Attributes:
        concurrent_tasks: Largest number of tasks that run at once.
        starts_per_s: Largest rate of task starts, per second; 0 for no limit.
        queue_tasks: Largest number of queued tasks.
        caller_share: Largest fraction of the queue for one caller, 0 to 1.
        job_tasks: Largest number of tasks in a job.
    """

    concurrent_tasks: int = 10_000
    starts_per_s: float = 0.0
    queue_tasks: int = 10_000
    caller_share: float = 1.0
    job_tasks: int = 1000


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request of a service.

    Attributes:
        name: Name of the kind.
        repeatable: Whether a task of this kind is idempotent.
        timeout_s: Longest run time of one task.
        max_starts: Largest number of starts of one task, which is started
            again after known failures only; 1 for no restart.
    """

    name: str
    repeatable: bool = False
    timeout_s: float = 30.0
    max_starts: int = 1


@dataclass(frozen=True, slots=True)
class StopPolicy:
    """How a service is stopped.

    Attributes:
        drain_s: Drain period, in which accepted jobs may finish.
        remainder: What happens to jobs that are unfinished after it.
    """

    drain_s: float = 30.0
    remainder: StopRemainder = StopRemainder.FINISH


@dataclass(frozen=True, slots=True)
class ServiceDocument:
    """One version of a service's document.

    Attributes:
        service: Name of the service.
        version: Version number, higher for a newer document.
        team: The team that owns the document.
        upstreams: Selector of the upstreams that serve the service.
        limits: Admission and concurrency limits.
        requests: Request kinds.
        stop: How the service is stopped.
        state: Whether the service accepts new jobs.
        digest: Digest of the submitted content.
    """

    service: str
    version: int
    team: str
    upstreams: Selector
    limits: Limits
    requests: tuple[RequestKind, ...]
    stop: StopPolicy = StopPolicy()
    state: ServiceState = ServiceState.SERVING
    digest: bytes = b''

    def request_kind(self, name: str) -> RequestKind | None:
        """Returns the request kind with a name, or None.

        Args:
            name: Name of the kind.
        """
        for kind in self.requests:
            if kind.name == name:
                return kind
        return None
