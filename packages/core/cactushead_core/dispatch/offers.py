"""Offers of planned tasks to agents."""

from ..effects import Send
from ..tasks import OfferTasks, TaskRun
from .agent_view import AgentView
from .job import OpenJob, OpenTask
from .planner import PlannedTask

# Number of capacity rejections of a task after which it may queue at an agent;
# each rejection costs a round trip.
MAX_CAPACITY_REJECTIONS = 2


def offer_planned(
    open_job: OpenJob,
    plan: list[PlannedTask],
    now_s: float,
) -> list[Send]:
    """Creates the offers of planned tasks and records them.

    Args:
        open_job: The job of the tasks.
        plan: The planned tasks.
        now_s: The monotonic clock of the process.

    Returns:
        One offer message for each combination of agent, step and permission
        to queue.
    """
    groups: dict[tuple[str, int, bool], list[PlannedTask]] = {}
    for planned in plan:
        task = planned.task
        task.agent = planned.choice.agent.name
        task.run += 1
        open_job.newest_run = max(open_job.newest_run, task.run)
        task.expected_s = planned.expected_s
        # If free capacity is expected, a task that finds none is returned
        # immediately and placed elsewhere instead of queueing.
        may_wait = (
            planned.choice.wait_s > 0
            or task.capacity_rejections >= MAX_CAPACITY_REJECTIONS
        )
        key = (task.agent, task.ref.step, may_wait)
        groups.setdefault(key, []).append(planned)
    return [
        _offer(
            open_job,
            group[0].choice.agent,
            [member.task for member in group],
            now_s,
            may_wait=may_wait,
        )
        for (_, _, may_wait), group in groups.items()
    ]


def _offer(
    open_job: OpenJob,
    view: AgentView,
    tasks: list[OpenTask],
    now_s: float,
    *,
    may_wait: bool,
) -> Send:
    """Creates and records the offer of tasks of one step to one agent."""
    open_job.offered = True
    number = tasks[0].ref.step
    needs = open_job.job.steps[number].needs
    expected_s = tasks[0].expected_s
    offer_number = view.add_offer(
        [task.ref for task in tasks],
        needs.cpu_m * len(tasks),
    )
    return Send(
        view.name,
        OfferTasks(
            view.session,
            offer_number,
            open_job.job.job,
            number,
            open_job.job.payload,
            needs,
            tuple(TaskRun(task.ref.index, task.run) for task in tasks),
            open_job.objective_at_s - expected_s - now_s,
            expected_s,
            may_wait,
        ),
    )
