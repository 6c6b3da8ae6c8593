"""Budget of restarts after known failures.

Explanation:
    A restart adds load when a service already does badly. So restarts may
    take only a tenth of a service's recent starts, with a small floor for
    services with little work.
"""

from collections import deque
from dataclasses import dataclass, field

from ..agents.model import OutcomeStatus, TaskOutcome
from ..documents.model import RequestKind
from .model import QueuedTask

WINDOW_S = 10.0
BUCKET_S = 1.0
MAX_RESTART_SHARE = 0.1
MIN_RESTARTS = 3


@dataclass(slots=True)
class _Bucket:
    """Starts and restarts within a slice of the window."""

    started_s: float
    starts: int = 0
    restarts: int = 0


@dataclass(slots=True)
class RestartBudget:
    """Counts a service's starts and restarts over a sliding window."""

    _buckets: deque[_Bucket] = field(default_factory=deque)

    def add_starts(self, tasks: int, now_s: float) -> None:
        """Counts starts.

        Args:
            tasks: Number of tasks that start.
            now_s: The leader's monotonic clock.
        """
        self._current_bucket(now_s).starts += tasks

    def try_acquire(self, now_s: float) -> bool:
        """Takes one restart from the budget if it isn't used up.

        Args:
            now_s: The leader's monotonic clock.

        Returns:
            Whether the restart may be made.
        """
        current = self._current_bucket(now_s)
        starts = sum(bucket.starts for bucket in self._buckets)
        restarts = sum(bucket.restarts for bucket in self._buckets)
        if restarts >= max(MIN_RESTARTS, starts * MAX_RESTART_SHARE):
            return False
        current.restarts += 1
        return True

    def _current_bucket(self, now_s: float) -> _Bucket:
        buckets = self._buckets
        while buckets and now_s - buckets[0].started_s > WINDOW_S:
            buckets.popleft()
        if not buckets or now_s - buckets[-1].started_s >= BUCKET_S:
            buckets.append(_Bucket(now_s))
        return buckets[-1]


def restart_is_allowed(
    kind: RequestKind,
    task: QueuedTask,
    outcome: TaskOutcome,
    now_s: float,
) -> bool:
    """Whether the document lets a task start again, budget aside.

    Explanation:
        Only a start that is known to have ended in failure may be followed
        by another: after an unknown outcome the task may still run.

    Args:
        kind: The task's request kind in the document in force.
        task: The task as it was started.
        outcome: How that start ended.
        now_s: The leader's monotonic clock.
    """
    known_to_fail = outcome.status is OutcomeStatus.FAILED
    if not (kind.repeatable and known_to_fail and now_s < task.deadline_s):
        return False
    return outcome.start == task.start and task.start < kind.max_starts
