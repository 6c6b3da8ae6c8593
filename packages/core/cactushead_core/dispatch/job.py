"""Best-effort jobs that an entry has open."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..tasks import BestEffortJob, TaskRef


@dataclass(slots=True)
class OpenTask:
    """A task that isn't done.

    Attributes:
        ref: The task.
        run: Number of its newest run, 0 before the first.
        failures: Runs that failed.
        agent: Name of the agent that has it; empty for none.
        expected_s: Expected run time when it was offered.
        avoided: Agents where it failed or was handed back.
        crowded: How often it was handed back for want of room at once.
    """

    ref: TaskRef
    run: int = 0
    failures: int = 0
    agent: str = ''
    expected_s: float = 0.0
    avoided: set[str] = field(default_factory=set)
    crowded: int = 0


class OpenJob:
    """A best-effort job whose callers wait.

    Attributes:
        job: The job.
        began_s: When it arrived.
        request_ids: Callers that wait for its end.
        tasks: Tasks that aren't done.
        offered: Whether any task was offered to an agent.
    """

    def __init__(
        self,
        job: BestEffortJob,
        request_id: int,
        now_s: float,
    ) -> None:
        """Opens a job.

        Args:
            job: The job.
            request_id: Number of the caller's request.
            now_s: The process's clock.
        """
        self.job = job
        self.began_s = now_s
        self.request_ids = [request_id]
        self.tasks: dict[TaskRef, OpenTask] = {}
        self.offered = False
        self._left = [step.count for step in job.steps]
        self._opened: set[int] = set()

    @property
    def done(self) -> bool:
        """Whether all tasks of all steps are done."""
        return not any(self._left)

    @property
    def objective_at_s(self) -> float:
        """When the caller wants the end."""
        return self.began_s + self.job.objective_s

    @property
    def caller_deadline_s(self) -> float:
        """When the caller waits no more."""
        return self.began_s + self.job.caller_timeout_s

    def open_steps(self) -> list[int]:
        """Opens the steps whose turn has come and returns their numbers."""
        opened = []
        for number, step in enumerate(self.job.steps):
            if number in self._opened:
                continue
            if any(self._left[earlier] for earlier in step.depends_on):
                continue
            opened.append(number)
            self._opened.add(number)
            for index in range(step.count):
                ref = TaskRef(self.job.job, number, index)
                self.tasks[ref] = OpenTask(ref)
        return opened

    def unplaced(self) -> Iterator[OpenTask]:
        """Yields the open tasks that no agent has."""
        return (task for task in self.tasks.values() if not task.agent)

    def finish(self, task: OpenTask) -> None:
        """Takes a task that is done."""
        self.tasks.pop(task.ref)
        self._left[task.ref.step] -= 1

    def agents(self) -> set[str]:
        """Returns the agents that have tasks of the job."""
        return {task.agent for task in self.tasks.values() if task.agent}
