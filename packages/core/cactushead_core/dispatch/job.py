"""Open best-effort jobs of an entry."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..tasks import BestEffortJob, TaskRef


@dataclass(slots=True)
class OpenTask:
    """A task that has not completed.

    Attributes:
        ref: Identity of the task.
        run: Number of the latest run; before the first, the highest number
            of an earlier instance of the job, 0 for none.
        failures: Number of failed runs.
        agent: Name of the agent to which the task is offered; empty for none.
        expected_s: Expected run time at the time of the offer.
        excluded_agents: Agents at which a run of the task ended without
            success, other than for lack of capacity.
        capacity_rejections: How often an agent returned the task for lack of
            free capacity.
    """

    ref: TaskRef
    run: int = 0
    failures: int = 0
    agent: str = ''
    expected_s: float = 0.0
    excluded_agents: set[str] = field(default_factory=set)
    capacity_rejections: int = 0


class OpenJob:
    """A best-effort job that has not ended and whose callers wait.

    Attributes:
        job: The job.
        arrived_s: Time of arrival.
        request_ids: Requests of the callers that wait for the outcome.
        tasks: Tasks of the opened steps that have not completed.
        offered: Whether any task was ever offered to an agent.
        has_run: Whether any task has or may have run.
        newest_run: Highest run number of any task.
    """

    def __init__(
        self,
        job: BestEffortJob,
        request_id: int,
        now_s: float,
        earlier_runs: int = 0,
    ) -> None:
        """Starts without opened steps.

        Args:
            job: The job.
            request_id: Id of the caller's request.
            now_s: The monotonic clock of the process.
            earlier_runs: Highest run number of an earlier instance of the job;
                its late results are not taken for those of this one.
        """
        self.job = job
        self.arrived_s = now_s
        self.request_ids = [request_id]
        self.tasks: dict[TaskRef, OpenTask] = {}
        self.offered = False
        self.has_run = False
        self.newest_run = earlier_runs
        self._earlier_runs = earlier_runs
        self._remaining = [step.count for step in job.steps]
        self._opened_steps: set[int] = set()

    @property
    def done(self) -> bool:
        """Whether all tasks of all steps have completed."""
        return not any(self._remaining)

    @property
    def objective_at_s(self) -> float:
        """Time at which the latency objective ends."""
        return self.arrived_s + self.job.objective_s

    @property
    def caller_deadline_s(self) -> float:
        """Time at which the caller stops waiting."""
        return self.arrived_s + self.job.caller_timeout_s

    def open_steps(self) -> list[int]:
        """Opens the steps whose dependencies have completed.

        Returns:
            Indices of the newly opened steps.
        """
        opened = []
        for number, step in enumerate(self.job.steps):
            if number in self._opened_steps:
                continue
            if any(self._remaining[earlier] for earlier in step.depends_on):
                continue
            opened.append(number)
            self._opened_steps.add(number)
            for index in range(step.count):
                ref = TaskRef(self.job.job, number, index)
                self.tasks[ref] = OpenTask(ref, self._earlier_runs)
        return opened

    def unplaced(self) -> Iterator[OpenTask]:
        """Yields the open tasks that are not offered to any agent."""
        return (task for task in self.tasks.values() if not task.agent)

    @property
    def withdrawn(self) -> bool:
        """Whether no task has run and no agent has any."""
        return not self.has_run and not self.agents()

    def finish(self, task: OpenTask) -> None:
        """Removes a completed task.

        Args:
            task: The task.
        """
        self.tasks.pop(task.ref)
        self._remaining[task.ref.step] -= 1

    def agents(self) -> set[str]:
        """Returns the names of the agents that have tasks of the job."""
        return {task.agent for task in self.tasks.values() if task.agent}
