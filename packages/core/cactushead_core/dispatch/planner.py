"""Which agents the tasks of a job shall go to."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..tasks import BestEffortJob
from .estimates import RunTimes
from .fleet import AgentView
from .job import OpenJob, OpenTask
from .placement import Choice, Placement


@dataclass(frozen=True, slots=True)
class PlannedTask:
    """A task and the agent that it shall be offered to.

    Attributes:
        task: The task.
        choice: The agent.
        expected_s: Expected run time at a usual upstream.
    """

    task: OpenTask
    choice: Choice
    expected_s: float

    @property
    def delay_s(self) -> float:
        """How much later it ends than at a usual upstream, if it waits."""
        if not self.choice.wait_s:
            return 0.0
        return max(self.choice.end_s - self.expected_s, 0.0)


class Planner:
    """Plans whole jobs, so that each task counts for the next one."""

    def __init__(
        self,
        placement: Placement,
        times: RunTimes,
        views: Mapping[str, AgentView],
    ) -> None:
        """Shares what an entry knows.

        Args:
            placement: Chooses agents.
            times: Learned run times.
            views: The agents by name.
        """
        self._placement = placement
        self._times = times
        self._views = views

    def plan(self, opened: OpenJob, now_s: float) -> list[PlannedTask]:
        """Chooses agents for the tasks that no agent has.

        Args:
            opened: The job.
            now_s: The process's clock.

        Returns:
            The tasks for which there is an agent.
        """
        plan: list[PlannedTask] = []
        held = Counter(
            (task.agent, task.ref.step) for task in opened.tasks.values()
        )
        agents = self._agents_of(opened.job)
        for task in opened.unplaced():
            planned = self._plan_task(opened, task, agents, held, now_s)
            if planned is not None:
                plan.append(planned)
                agent = planned.choice.agent
                held[agent.name, task.ref.step] += 1
                agent.unseen_cpu_m += _need_m(opened, task)
        for planned in plan:
            # They are counted again once they are offered.
            agent = planned.choice.agent
            agent.unseen_cpu_m -= _need_m(opened, planned.task)
        return plan

    def fits(self, job: BestEffortJob) -> bool:
        """Whether each step of a job can run somewhere.

        Args:
            job: The job.
        """
        agents = self._agents_of(job)
        return all(self._placement.fits(step, agents) for step in job.steps)

    def _plan_task(
        self,
        opened: OpenJob,
        task: OpenTask,
        agents: list[AgentView],
        held: Counter[tuple[str, int]],
        now_s: float,
    ) -> PlannedTask | None:
        job = opened.job
        number = task.ref.step
        step = job.steps[number]
        expected_s = self._times.expected_s(job.queue, step.estimate_s)
        most = step.max_per_upstream
        candidates = [
            view
            for view in agents
            if view.name not in task.avoided
            and (not most or held[view.name, number] < most)
        ]
        choice = self._placement.choose(step, expected_s, candidates, now_s)
        if choice is not None:
            return PlannedTask(task, choice, expected_s)
        # Nobody else can run it, so those that handed it back are asked again.
        task.avoided.clear()
        return None

    def _agents_of(self, job: BestEffortJob) -> list[AgentView]:
        return [
            view for view in self._views.values() if view.service == job.service
        ]


def _need_m(opened: OpenJob, task: OpenTask) -> int:
    return opened.job.steps[task.ref.step].needs.cpu_m
