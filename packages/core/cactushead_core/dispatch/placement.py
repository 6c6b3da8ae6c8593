"""Placement: the choice of the agent to which a task is offered."""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from ..tasks import JobStep
from .agent_view import AgentView

# Among upstreams with equal waits the less utilized one is preferred, because
# its tasks end before a queue can form; small compared with any run time.
UTILIZATION_PENALTY_S = 0.02
# Random jitter, so that entries with equal views choose different agents.
JITTER_S = 0.004
# Lower bound that limits the expected number of runs of a task to 20.
MIN_SUCCESS_RATE = 0.05


@dataclass(frozen=True, slots=True)
class Choice:
    """The agent chosen for a task, with the expected times.

    Attributes:
        agent: The agent.
        wait_s: Expected time in the agent's queue.
        run_s: Expected run time at the agent.
    """

    agent: AgentView
    wait_s: float
    run_s: float

    @property
    def completion_s(self) -> float:
        """Expected time until the task completes."""
        return self.wait_s + self.run_s


class Placement(ABC):
    """Base class of placement policies."""

    def choose(
        self,
        step: JobStep,
        expected_s: float,
        candidates: Iterable[AgentView],
        now_s: float,
    ) -> Choice | None:
        """Returns the agent for one task, None if no candidate can run it.

        Args:
            step: The task's step.
            expected_s: Expected run time at an average upstream.
            candidates: Agents of the service that are eligible for the task.
            now_s: The monotonic clock of the process.
        """
        fitting = [view for view in candidates if can_run(view, step)]
        if not fitting:
            return None
        return self._choose(step, expected_s, fitting, now_s)

    def fits(self, step: JobStep, candidates: Iterable[AgentView]) -> bool:
        """Whether any agent can run the tasks of a step.

        Args:
            step: The step.
            candidates: Agents of the service.
        """
        return any(can_run(view, step) for view in candidates)

    @abstractmethod
    def _choose(
        self,
        step: JobStep,
        expected_s: float,
        fitting: list[AgentView],
        now_s: float,
    ) -> Choice:
        """Returns the best of the agents, all of which can run the task."""


class EarliestCompletion(Placement):
    """Chooses the agent with the earliest expected completion time."""

    def __init__(self, far_factor: float, seed: int) -> None:
        """Seeds the random jitter.

        Args:
            far_factor: Factor by which the run time grows when a task does
                not run near its data.
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
            choice = self._estimate(step, expected_s, view)
            utilization = (view.load_cpu_m + step.needs.cpu_m) / max(
                view.capacity.cpu_m, 1
            )
            # A failed run is repeated: 1 / success runs are expected.
            success = max(
                1 - view.expected_failure_rate(now_s), MIN_SUCCESS_RATE
            )
            score = (
                choice.completion_s / success
                + UTILIZATION_PENALTY_S * utilization
            )
            score += JITTER_S * self._random.random()
            if score < best_score:
                best, best_score = choice, score
        assert best is not None
        return best

    def _estimate(
        self,
        step: JobStep,
        expected_s: float,
        view: AgentView,
    ) -> Choice:
        run_s = expected_s * view.run_time_ratio
        if step.preferred_rack and step.preferred_rack not in view.labels:
            run_s *= self._far_factor
        return Choice(view, expected_wait_s(view, step.needs.cpu_m), run_s)


def expected_wait_s(view: AgentView, cpu_m: int) -> float:
    """Returns the expected queueing time of a new task at an agent.

    Explanation:
        It is assumed that the upstream completes work equal to its total
        processor capacity once per mean run time.

    Args:
        view: The agent.
        cpu_m: Processor demand of the task.
    """
    excess_cpu_m = view.load_cpu_m + cpu_m - view.capacity.cpu_m
    if excess_cpu_m <= 0:
        return 0.0
    return view.mean_run_s * excess_cpu_m / max(view.capacity.cpu_m, 1)


def can_run(view: AgentView, step: JobStep) -> bool:
    """Whether an agent can run the tasks of a step now.

    Args:
        view: The agent.
        step: The step.
    """
    return view.usable and is_suited(view, step)


def is_suited(view: AgentView, step: JobStep) -> bool:
    """Whether an agent's upstream has the label and the size for a step.

    Args:
        view: The agent.
        step: The step.
    """
    if step.required_label and step.required_label not in view.labels:
        return False
    return view.capacity.can_fit(step.needs)
