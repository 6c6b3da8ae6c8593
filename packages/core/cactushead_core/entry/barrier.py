"""Barrier that delays unplaced tasks of earlier terms after a failover."""

from dataclasses import dataclass

from .job import OpenJob, TaskPhase

# Distance of the first start numbers of successive terms. Each term has its
# own range, since a new leader may not know the last start number that an
# earlier leader used.
TERM_PLACEMENT_STRIDE = 1000


@dataclass(frozen=True, slots=True)
class DelayedTask:
    """A task that may be assigned although the log has no placement of it.

    Attributes:
        job: Its job, admitted in an earlier term.
        index: Index of the task in its job.
    """

    job: OpenJob
    index: int

    @property
    def is_waiting(self) -> bool:
        """Whether the task is still waiting to be placed."""
        return self.job.tasks[self.index].phase is TaskPhase.WAITING


class TakeoverBarrier:
    """Delays tasks of earlier terms until all agents have reported.

    Explanation:
        A leader logs the first placement of a queued task shortly after it
        has sent the assignment. After a failover, a task without a logged
        placement may therefore have been started by any registered agent.
        Once all of them have reported, a task that is in no report was never
        started and can be placed.
    """

    def __init__(self, term: int, agents: set[str]) -> None:
        """Starts with all registered agents unreported.

        Args:
            term: The new leader's term.
            agents: Names of the agents that are registered at its start.
        """
        self._first_start = term * TERM_PLACEMENT_STRIDE
        self._unreported = set(agents)
        self._delayed: list[DelayedTask] = []

    @property
    def passed(self) -> bool:
        """Whether every registered agent has reported or is lost."""
        return not self._unreported

    def delay(self, job: OpenJob, index: int) -> None:
        """Delays the placement of a task until the barrier is passed.

        Args:
            job: Its job.
            index: Index of the task.
        """
        task = job.tasks[index]
        task.phase = TaskPhase.WAITING
        task.may_have_run = True
        self._delayed.append(DelayedTask(job, index))

    def on_report(self, agent: str) -> list[DelayedTask]:
        """Records a report and, after the last one, returns the delayed tasks.

        Explanation:
            A returned task has not run except for its known failures. Its next
            start number is in the range of the new term.

        Args:
            agent: Name of the agent that has reported.
        """
        self._unreported.discard(agent)
        if self._unreported:
            return []
        released = [delayed for delayed in self._delayed if delayed.is_waiting]
        self._delayed = []
        for delayed in released:
            task = delayed.job.tasks[delayed.index]
            task.may_have_run = task.failures > 0
            task.start = max(task.start, self._first_start)
        return released

    def on_agent_lost(self, agent: str) -> list[DelayedTask]:
        """Returns the delayed tasks that may have run on a lost agent.

        Args:
            agent: Name of an agent whose incarnation will not report.
        """
        if agent not in self._unreported:
            return []
        self._unreported.discard(agent)
        lost = [delayed for delayed in self._delayed if delayed.is_waiting]
        self._delayed = []
        return lost
