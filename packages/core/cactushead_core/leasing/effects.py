"""Calls that an agent makes to its upstream."""

from dataclasses import dataclass

from ..effects import Effect
from ..tasks import TaskRef
from .model import UpstreamIdentity


@dataclass(frozen=True, slots=True)
class StartLeased(Effect):
    """Starts one run; results in `StartCallCompleted`.

    Attributes:
        upstream: Incarnation of the upstream that should start it.
        address: Address at which the upstream accepts calls.
        task: The task.
        run: Number of the run.
        payload: Input of the task.
        lease_end_ms: End of the lease on the upstream's clock; the upstream
            refuses a start that arrives later.
        token: Fencing token.
    """

    upstream: UpstreamIdentity
    address: str
    task: TaskRef
    run: int
    payload: str
    lease_end_ms: int
    token: int


@dataclass(frozen=True, slots=True)
class StopLeased(Effect):
    """Stops one run; results in `StopCallCompleted`.

    Attributes:
        upstream: Incarnation of the upstream.
        address: Address at which the upstream accepts calls.
        task: The task.
        run: Number of the run; from then on the upstream also refuses to
            start runs of the task with lower numbers.
        token: Fencing token.
    """

    upstream: UpstreamIdentity
    address: str
    task: TaskRef
    run: int
    token: int


@dataclass(frozen=True, slots=True)
class RenewLeases(Effect):
    """Renews all leases and lists the runs.

    Explanation:
        The call results in one `LeasesRenewed` or `RenewalFailed`.

    Attributes:
        upstream: Incarnation of the upstream.
        address: Address at which the upstream accepts calls.
        lease_end_ms: New end of the leases on the upstream's clock; -1 to
            only list.
        acknowledged: Number of a run end that was processed; the upstream
            discards it and earlier ones. 0 to discard none.
        wait_s: How long the upstream may delay its answer until a run ends.
        token: Fencing token.
    """

    upstream: UpstreamIdentity
    address: str
    lease_end_ms: int
    acknowledged: int
    wait_s: float
    token: int
