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
SLICE_S = 1.0
RESTART_SHARE = 0.1
RESTART_FLOOR = 3


@dataclass(slots=True)
class _Slice:
    """Starts and restarts within a slice of the window."""

    began_s: float
    starts: int = 0
    restarts: int = 0


@dataclass(slots=True)
class RestartBudget:
    """Counts a service's starts and restarts over a sliding window."""

    _slices: deque[_Slice] = field(default_factory=deque)

    def note_starts(self, tasks: int, now_s: float) -> None:
        """Counts starts.

        Args:
            tasks: Number of tasks that start.
            now_s: The leader's monotonic clock.
        """
        self._present(now_s).starts += tasks

    def take(self, now_s: float) -> bool:
        """Takes one restart from the budget if it isn't used up.

        Args:
            now_s: The leader's monotonic clock.

        Returns:
            Whether the restart may be made.
        """
        present = self._present(now_s)
        starts = sum(part.starts for part in self._slices)
        restarts = sum(part.restarts for part in self._slices)
        if restarts >= max(RESTART_FLOOR, starts * RESTART_SHARE):
            return False
        present.restarts += 1
        return True

    def _present(self, now_s: float) -> _Slice:
        slices = self._slices
        while slices and now_s - slices[0].began_s > WINDOW_S:
            slices.popleft()
        if not slices or now_s - slices[-1].began_s >= SLICE_S:
            slices.append(_Slice(now_s))
        return slices[-1]


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
