"""Calls that an agent makes to its upstream."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..effects import Effect
from ..events import Event
from ..tasks import TaskRef
from .events import RenewalFailed, StartCallCompleted, StopCallCompleted
from .model import StartAnswer, UpstreamIdentity


@dataclass(frozen=True, slots=True)
class UpstreamCall(Effect, ABC):
    """A call, which results in one event.

    Attributes:
        upstream: Incarnation of the upstream that is called.
        address: Address at which it accepts calls.
    """

    upstream: UpstreamIdentity
    address: str

    @abstractmethod
    def failed(self, cause: str) -> Event:
        """Returns the event of a call whose outcome is unknown.

        Args:
            cause: Short text for logs.
        """


@dataclass(frozen=True, slots=True)
class StartLeased(UpstreamCall):
    """Starts one run; results in `StartCallCompleted`.

    Attributes:
        task: The task.
        run: Number of the run.
        payload: Input of the task.
        lease_end_ms: End of the lease on the upstream's clock; the upstream
            refuses a start that arrives later.
        token: Fencing token.
    """

    task: TaskRef
    run: int
    payload: str
    lease_end_ms: int
    token: int

    def failed(self, cause: str) -> Event:
        """Returns the event of a start that may still be executed."""
        return StartCallCompleted(
            0.0,
            self.upstream,
            self.task,
            self.run,
            StartAnswer.UNKNOWN,
            cause=cause,
        )


@dataclass(frozen=True, slots=True)
class StopLeased(UpstreamCall):
    """Stops one run; results in `StopCallCompleted`.

    Attributes:
        task: The task.
        run: Number of the run; from then on the upstream also refuses to
            start runs of the task with lower numbers.
        token: Fencing token.
    """

    task: TaskRef
    run: int
    token: int

    def failed(self, cause: str) -> Event:
        """Returns the event of a stop that has to be repeated."""
        return StopCallCompleted(
            0.0, self.upstream, self.task, self.run, confirmed=False
        )


@dataclass(frozen=True, slots=True)
class RenewLeases(UpstreamCall):
    """Renews all leases and lists the runs.

    Explanation:
        The call results in one `LeasesRenewed` or `RenewalFailed`.

    Attributes:
        lease_end_ms: New end of the leases on the upstream's clock; -1 to
            only list.
        acknowledged: Number of a run end that was processed; the upstream
            discards it and earlier ones. 0 to discard none.
        wait_s: How long the upstream may delay its answer until a run ends.
        token: Fencing token.
    """

    lease_end_ms: int
    acknowledged: int
    wait_s: float
    token: int

    def failed(self, cause: str) -> Event:
        """Returns the event of a renewal without a usable answer."""
        return RenewalFailed(
            0.0, self.upstream, refused=False, fenced=False, cause=cause
        )
