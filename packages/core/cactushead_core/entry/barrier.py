"""What a new leader holds back until every agent has reported."""

from dataclasses import dataclass

from .job import OpenJob, TaskPhase

# Placements of one term are numbered from a base of their own, since a new
# leader may not know the last number that an earlier one used.
TERM_PLACEMENT_STRIDE = 1000


@dataclass(frozen=True, slots=True)
class HeldTask:
    """A task that an agent may hold without a record of its placement.

    Attributes:
        job: Its job, admitted in an earlier term.
        index: Index of the task in its job.
    """

    job: OpenJob
    index: int

    @property
    def is_waiting(self) -> bool:
        """Whether the task still waits to be placed."""
        return self.job.tasks[self.index].phase is TaskPhase.WAITING


class TakeoverBarrier:
    """Holds tasks of earlier terms back until their agents are heard.

    Explanation:
        An earlier leader records later placements shortly after it sends
        them. So a task without a record may have been started by any agent
        that was registered. Once each of them has reported, a task that none
        of them holds never started.
    """

    def __init__(self, term: int, agents: set[str]) -> None:
        """Waits for the registered agents.

        Args:
            term: The new leader's term.
            agents: Names of the registered agents.
        """
        self._first_start = term * TERM_PLACEMENT_STRIDE
        self._unreported = set(agents)
        self._held: list[HeldTask] = []

    @property
    def passed(self) -> bool:
        """Whether no agent is waited for."""
        return not self._unreported

    def hold(self, job: OpenJob, index: int) -> None:
        """Holds a task back.

        Args:
            job: Its job.
            index: Index of the task.
        """
        task = job.tasks[index]
        task.phase = TaskPhase.WAITING
        task.may_have_run = True
        self._held.append(HeldTask(job, index))

    def on_report(self, agent: str) -> list[HeldTask]:
        """Returns the tasks that may be placed now, after the last report.

        Args:
            agent: Name of the agent that has reported.
        """
        self._unreported.discard(agent)
        if self._unreported:
            return []
        released = [held for held in self._held if held.is_waiting]
        self._held = []
        for held in released:
            task = held.job.tasks[held.index]
            task.may_have_run = task.failures > 0
            task.start = max(task.start, self._first_start)
        return released

    def on_agent_lost(self, agent: str) -> list[HeldTask]:
        """Returns the tasks that may have run on an agent that is lost.

        Args:
            agent: Name of an agent that will not report.
        """
        if agent not in self._unreported:
            return []
        self._unreported.discard(agent)
        lost = [held for held in self._held if held.is_waiting]
        self._held = []
        return lost
