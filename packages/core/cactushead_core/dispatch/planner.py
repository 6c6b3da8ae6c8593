"""Plans the placement of all tasks of a job."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..tasks import BestEffortJob, JobStep
from .agent_view import AgentView
from .containment import CrashContainment
from .estimates import RunTimes
from .job import OpenJob, OpenTask
from .placement import Choice, Placement


@dataclass(frozen=True, slots=True)
class PlannedTask:
    """A task and the agent to which it will be offered.

    Attributes:
        task: The task.
        choice: The chosen agent.
        expected_s: Expected run time at an average upstream.
    """

    task: OpenTask
    choice: Choice
    expected_s: float

    @property
    def delay_s(self) -> float:
        """Expected delay of a task that must queue, 0 for any other.

        Explanation:
            The delay is relative to an average upstream with free capacity.
        """
        if not self.choice.wait_s:
            return 0.0
        return max(self.choice.completion_s - self.expected_s, 0.0)


class Planner:
    """Plans jobs task by task, with the load of the tasks planned before."""

    def __init__(
        self,
        placement: Placement,
        times: RunTimes,
        views: Mapping[str, AgentView],
        containment: CrashContainment,
    ) -> None:
        """Shares the estimates and agents of the dispatcher.

        Args:
            placement: The placement policy.
            times: Estimated run times.
            views: The agents by name, updated by the dispatcher.
            containment: Selects the agents that may run a job.
        """
        self._containment = containment
        self._placement = placement
        self._times = times
        self._views = views

    def plan(self, open_job: OpenJob, now_s: float) -> list[PlannedTask]:
        """Chooses agents for the tasks that are not offered to any agent.

        Args:
            open_job: The job.
            now_s: The monotonic clock of the process.

        Returns:
            The tasks for which an agent was found.
        """
        plan: list[PlannedTask] = []
        task_counts = Counter(
            (task.agent, task.ref.step) for task in open_job.tasks.values()
        )
        job = open_job.job
        numbers = {task.ref.step for task in open_job.unplaced()}
        agents = {
            number: self._agents_of(job, job.steps[number])
            for number in numbers
        }
        for task in open_job.unplaced():
            planned = self._plan_task(
                open_job, task, agents[task.ref.step], task_counts, now_s
            )
            if planned is not None:
                plan.append(planned)
                agent = planned.choice.agent
                task_counts[agent.name, task.ref.step] += 1
                agent.uncounted_cpu_m += _needed_cpu_m(open_job, task)
        for planned in plan:
            # The demand is added again when the offer is made.
            agent = planned.choice.agent
            agent.uncounted_cpu_m -= _needed_cpu_m(open_job, planned.task)
        return plan

    def fits(self, job: BestEffortJob) -> bool:
        """Whether each step of a job can run at some agent.

        Args:
            job: The job.
        """
        return all(
            self._placement.fits(step, self._agents_of(job, step))
            for step in job.steps
        )

    def is_hopeless(self, open_job: OpenJob) -> bool:
        """Whether no upstream is suited to a task that waits for one.

        Explanation:
            That is certain only while all agents of the service are usable:
            the upstream of any other one may be suited when it is back.

        Args:
            open_job: The job.
        """
        job = open_job.job
        served = [
            view for view in self._views.values() if view.service == job.service
        ]
        if not served or not all(view.usable for view in served):
            return False
        numbers = {task.ref.step for task in open_job.unplaced()}
        return any(
            not self._placement.fits(job.steps[number], served)
            for number in numbers
        )

    def _plan_task(
        self,
        open_job: OpenJob,
        task: OpenTask,
        agents: list[AgentView],
        task_counts: Counter[tuple[str, int]],
        now_s: float,
    ) -> PlannedTask | None:
        job = open_job.job
        number = task.ref.step
        step = job.steps[number]
        expected_s = self._times.expected_s(job.queue, step.estimate_s)
        max_tasks = step.max_per_upstream
        candidates = [
            view
            for view in agents
            if view.name not in task.excluded_agents
            and (not max_tasks or task_counts[view.name, number] < max_tasks)
        ]
        candidates = self._containment.separate_suspects(
            job.job, job.queue, candidates
        )
        choice = self._placement.choose(step, expected_s, candidates, now_s)
        if choice is not None:
            return PlannedTask(task, choice, expected_s)
        # No other agent can run the task, so the excluded ones are tried again.
        task.excluded_agents.clear()
        return None

    def _agents_of(self, job: BestEffortJob, step: JobStep) -> list[AgentView]:
        return self._containment.select_agents(job, step, self._views.values())


def _needed_cpu_m(open_job: OpenJob, task: OpenTask) -> int:
    return open_job.job.steps[task.ref.step].needs.cpu_m
