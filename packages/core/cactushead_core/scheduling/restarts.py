"""Retry budget: limits task restarts after known failures.

Explanation:
    Restarts add load to a service that already fails. So they are limited to
    a tenth of the recent starts of the service, but a few are always allowed
    for services with few starts.
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
    """Starts and restarts in one interval of the window."""

    started_s: float
    starts: int = 0
    restarts: int = 0


@dataclass(slots=True)
class RestartBudget:
    """Counts the starts and restarts of a service in a sliding window."""

    _buckets: deque[_Bucket] = field(default_factory=deque)

    def add_starts(self, tasks: int, now_s: float) -> None:
        """Counts task starts.

        Args:
            tasks: Number of started tasks.
            now_s: Current time on the leader's monotonic clock.
        """
        self._current_bucket(now_s).starts += tasks

    def try_acquire(self, now_s: float) -> bool:
        """Uses one restart of the budget unless it is exhausted.

        Args:
            now_s: Current time on the leader's monotonic clock.

        Returns:
            Whether the restart is allowed.
        """
        current = self._current_bucket(now_s)
        starts = sum(bucket.starts for bucket in self._buckets)
        restarts = sum(bucket.restarts for bucket in self._buckets)
        if restarts >= max(MIN_RESTARTS, starts * MAX_RESTART_SHARE):
            return False
        current.restarts += 1
        return True

    def _current_bucket(self, now_s: float) -> _Bucket:
        """Returns the current interval and drops those before the window."""
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
    """Whether the document allows a restart, regardless of the budget.

    Explanation:
        A task is restarted only if the previous start is known to have
        failed: after an unknown outcome the task may still run.

    Args:
        kind: The task's request kind in the document in force.
        task: The task as it was started.
        outcome: Outcome of that start.
        now_s: Current time on the leader's monotonic clock.
    """
    known_to_fail = outcome.status is OutcomeStatus.FAILED
    if not (kind.repeatable and known_to_fail and now_s < task.deadline_s):
        return False
    return outcome.start == task.start and task.start < kind.max_starts
