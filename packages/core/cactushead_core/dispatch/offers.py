"""Offers of planned tasks to agents."""

from ..effects import Send
from ..tasks import OfferTasks, TaskRun
from .fleet import AgentView
from .job import OpenJob, OpenTask
from .planner import PlannedTask

# Offers of a task to agents that seem to have room, before it queues at one;
# each costs a round trip.
MOST_HOPS = 2


def offer_planned(
    opened: OpenJob,
    plan: list[PlannedTask],
    now_s: float,
) -> list[Send]:
    """Offers tasks to the agents that were chosen.

    Args:
        opened: Their job.
        plan: The tasks.
        now_s: The process's clock.

    Returns:
        One offer for each agent, step and way to wait.
    """
    groups: dict[tuple[str, int, bool], list[PlannedTask]] = {}
    for planned in plan:
        task = planned.task
        task.agent = planned.choice.agent.name
        task.run += 1
        task.expected_s = planned.expected_s
        # Where room is expected, a task that finds none goes on at once.
        may_wait = planned.choice.wait_s > 0 or task.crowded >= MOST_HOPS
        key = (task.agent, task.ref.step, may_wait)
        groups.setdefault(key, []).append(planned)
    return [
        _offer(
            opened,
            group[0].choice.agent,
            [member.task for member in group],
            now_s,
            may_wait=may_wait,
        )
        for (_, _, may_wait), group in groups.items()
    ]


def _offer(
    opened: OpenJob,
    view: AgentView,
    tasks: list[OpenTask],
    now_s: float,
    *,
    may_wait: bool,
) -> Send:
    """Offers tasks of one step to one agent."""
    opened.offered = True
    number = tasks[0].ref.step
    needs = opened.job.steps[number].needs
    expected_s = tasks[0].expected_s
    offer_number = view.offered(
        [task.ref for task in tasks],
        needs.cpu_m * len(tasks),
    )
    return Send(
        view.name,
        OfferTasks(
            view.session,
            offer_number,
            opened.job.job,
            number,
            opened.job.payload,
            needs,
            tuple(TaskRun(task.ref.index, task.run) for task in tasks),
            opened.objective_at_s - expected_s - now_s,
            expected_s,
            may_wait,
        ),
    )
