"""Which agent a task is offered to."""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from ..tasks import JobStep
from .fleet import AgentView

# Among equal waits the emptier upstream is better, since its tasks end
# sooner than a queue there can form; small beside any run time.
FILL_S = 0.02
# Entries with the same view spread their offers by chance.
JITTER_S = 0.004
# Bounds the expected number of runs of a task.
LEAST_SUCCESS = 0.05


@dataclass(frozen=True, slots=True)
class Choice:
    """An agent for a task.

    Attributes:
        agent: The agent.
        wait_s: Expected wait until the task starts there.
        run_s: Expected run time there.
    """

    agent: AgentView
    wait_s: float
    run_s: float

    @property
    def end_s(self) -> float:
        """Expected time until the task is done."""
        return self.wait_s + self.run_s


class Placement(ABC):
    """A choice of agents."""

    def choose(
        self,
        step: JobStep,
        expected_s: float,
        candidates: Iterable[AgentView],
        now_s: float,
    ) -> Choice | None:
        """Returns an agent for one task, None when nobody can run it.

        Args:
            step: The task's step.
            expected_s: Expected run time at a usual upstream.
            candidates: Agents of the service that may get the task.
            now_s: The process's clock.
        """
        fitting = [view for view in candidates if _can_run(view, step)]
        if not fitting:
            return None
        return self._choose(step, expected_s, fitting, now_s)

    def fits(self, step: JobStep, candidates: Iterable[AgentView]) -> bool:
        """Whether any agent can run the tasks of a step.

        Args:
            step: The step.
            candidates: Agents of the service.
        """
        return any(_can_run(view, step) for view in candidates)

    @abstractmethod
    def _choose(
        self,
        step: JobStep,
        expected_s: float,
        fitting: list[AgentView],
        now_s: float,
    ) -> Choice:
        """Returns the choice among agents that can run the task."""


class EarliestCompletion(Placement):
    """The agent at which the task is expected to end first."""

    def __init__(self, far_factor: float, seed: int) -> None:
        """Prepares the choice.

        Args:
            far_factor: How much longer a task takes away from its data.
            seed: Seed of the jitter.
        """
        self._far_factor = far_factor
        self._random = random.Random(seed)

    def _choose(
        self,
        step: JobStep,
        expected_s: float,
        fitting: list[AgentView],
        now_s: float,
    ) -> Choice:
        best: Choice | None = None
        best_score = float('inf')
        for view in fitting:
            choice = self._weigh(step, expected_s, view)
            fill = (view.load_cpu_m + step.needs.cpu_m) / view.capacity.cpu_m
            # Each failed run is followed by another.
            success = max(1 - view.failing_share(now_s), LEAST_SUCCESS)
            score = choice.end_s / success + FILL_S * fill
            score += JITTER_S * self._random.random()
            if score < best_score:
                best, best_score = choice, score
        assert best is not None
        return best

    def _weigh(
        self,
        step: JobStep,
        expected_s: float,
        view: AgentView,
    ) -> Choice:
        run_s = expected_s * view.slowness
        if step.preferred_rack and step.preferred_rack not in view.labels:
            run_s *= self._far_factor
        return Choice(view, expected_wait_s(view, step.needs.cpu_m), run_s)


def expected_wait_s(view: AgentView, cpu_m: int) -> float:
    """Returns the expected wait of a new task at an agent.

    Explanation:
        Work ends at the rate of the whole capacity per typical run time.

    Args:
        view: The agent.
        cpu_m: Processor need of the task.
    """
    over_m = view.load_cpu_m + cpu_m - view.capacity.cpu_m
    if over_m <= 0:
        return 0.0
    return view.mean_run_s * over_m / view.capacity.cpu_m


def _can_run(view: AgentView, step: JobStep) -> bool:
    if step.required_label and step.required_label not in view.labels:
        return False
    return view.usable and view.capacity.can_fit(step.needs)
