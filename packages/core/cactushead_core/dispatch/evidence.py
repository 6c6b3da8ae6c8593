"""Log records that show why a task was started twice.

Explanation:
    Each stands for a rare event: a job that arrives again, runs that are given
    up, and a result that doesn't belong to the task's newest run. None is
    written for a job that runs without trouble.
"""

from collections.abc import Collection

from ..effects import Record
from ..tasks import RunResult, TaskRef
from ..tasks.names import join_names, name_run, name_task
from .agent_view import AgentView
from .job import OpenJob


def name_offered(open_job: OpenJob) -> str:
    """Returns the runs of a job that agents have, with their agents.

    Args:
        open_job: The job.
    """
    return join_names(
        [
            f'{name_run(task.ref, task.run)} at {task.agent}'
            for task in open_job.tasks.values()
            if task.agent
        ]
    )


def open_again_record(open_job: OpenJob, now_s: float) -> Record:
    """Returns the record of an open job that arrives again.

    Args:
        open_job: The job.
        now_s: The monotonic clock of the process.
    """
    return Record(
        'job sent again',
        subject=open_job.job.job,
        detail=f'open for {now_s - open_job.arrived_s:.3f} s,'
        f' {len(open_job.request_ids)} callers wait;'
        f' {name_offered(open_job)}',
        logged=True,
    )


def ended_again_record(job: str, end: str) -> Record:
    """Returns the record of a job that arrives again after its end.

    Args:
        job: Id of the job.
        end: Its final state.
    """
    return Record('job sent again', subject=job, detail=end, logged=True)


def caller_left_record(open_job: OpenJob) -> Record:
    """Returns the record of a caller that left while others still wait.

    Args:
        open_job: Its job.
    """
    return Record(
        'caller left',
        subject=open_job.job.job,
        detail=f'{len(open_job.request_ids)} callers wait',
        logged=True,
    )


def given_up_record(open_job: OpenJob, cause: str, now_s: float) -> Record:
    """Returns the record of a job that ends while agents have runs of it.

    Args:
        open_job: The job.
        cause: Why it ends.
        now_s: The monotonic clock of the process.
    """
    return Record(
        'job given up',
        subject=open_job.job.job,
        detail=f'{cause}, open for {now_s - open_job.arrived_s:.3f} s;'
        f' told to stop: {name_offered(open_job)}',
        logged=True,
    )


def agent_given_up_record(view: AgentView, now_s: float) -> Record:
    """Returns the record of a lost agent whose runs have ended by now.

    Args:
        view: The agent.
        now_s: The monotonic clock of the process.
    """
    return Record(
        'agent given up',
        subject=view.name,
        detail=f'without a link for {now_s - view.lost_s:.3f} s,'
        f' session {view.session}, {_name_tasks(view.tasks)}',
        logged=True,
    )


def missing_record(
    view: AgentView,
    earlier_session: int,
    missing: Collection[TaskRef],
) -> Record:
    """Returns the record of tasks that the report of an agent doesn't list.

    Args:
        view: The agent.
        earlier_session: Session before the report; 0 if it is the first one
            on its link.
        missing: The tasks.
    """
    return Record(
        'tasks not reported',
        subject=view.name,
        detail=f'session {view.session} after {earlier_session},'
        f' {_name_tasks(missing)}',
        logged=True,
    )


def unexpected_record(
    view: AgentView, unexpected: Collection[TaskRef]
) -> Record:
    """Returns the record of reported tasks that the entry doesn't expect.

    Args:
        view: The agent.
        unexpected: The tasks; their jobs are cancelled at the agent.
    """
    return Record(
        'unexpected tasks reported',
        subject=view.name,
        detail=f'session {view.session}, {_name_tasks(unexpected)}',
        logged=True,
    )


def ignored_record(
    view: AgentView,
    run_result: RunResult,
    cause: str,
) -> Record:
    """Returns the record of a result that isn't of the task's newest run.

    Args:
        view: The agent that sent it.
        run_result: The result.
        cause: What the entry knows of the task.
    """
    return Record(
        'result ignored',
        subject=name_task(run_result.task),
        detail=f'run {run_result.run} at {view.name}: {run_result.end.value}'
        f' after {run_result.ran_s:.3f} s; {cause}',
        logged=True,
    )


def _name_tasks(refs: Collection[TaskRef]) -> str:
    names = join_names([name_task(ref) for ref in sorted(refs)])
    return f'{len(refs)} tasks: {names}' if names else 'no tasks'
