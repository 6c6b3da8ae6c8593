"""Admission control: whether a job may join the queue of its service.

Explanation:
    A job that violates a limit permanently (too many tasks, or a task that
    is larger than every known worker) is refused with findings and without a
    retry time. If only the queue or the caller's part of it is full, the
    refusal has a retry time, estimated from the rate at which the queue
    drains.

    While no upstream of the service is known, task sizes can't be checked.
    Such a job is queued under the same queue limits: after a leader change
    the agents announce themselves within one heartbeat interval, and if they
    don't, the deadline of the job limits the wait.
"""

from ..documents.model import Limits, ServiceState
from ..errors import Finding
from ..jobs.model import JobRequest, Refusal, RefusalReason, TaskSpec
from .service import ServiceLoad

# A draining or stopped service serves again only after an operator acts.
NOT_SERVING_RETRY_AFTER_S = 30.0
MAX_FINDINGS = 20


def find_refusal(
    load: ServiceLoad,
    request: JobRequest,
    now_s: float,
    *,
    check_sizes: bool,
) -> Refusal | None:
    """Returns why a job can't be admitted now, or None.

    Args:
        load: State of the requested service.
        request: The submitted job.
        now_s: Current time on the leader's monotonic clock.
        check_sizes: Whether to compare task sizes with the known workers;
            only if all workers are known.
    """
    if load.document.state is not ServiceState.SERVING:
        return Refusal(
            RefusalReason.NOT_SERVING,
            retry_after_s=NOT_SERVING_RETRY_AFTER_S,
        )
    if request.kind not in load.kinds:
        finding = Finding('kind', f'unknown request kind {request.kind!r}')
        return Refusal(RefusalReason.INVALID, findings=(finding,))
    findings = _find_exceeded_limits(load.document.limits, len(request.tasks))
    if check_sizes and not findings:
        findings = _find_oversized_tasks(load, request, now_s)
    if findings:
        return Refusal(RefusalReason.TOO_LARGE, findings=tuple(findings))
    return _find_queue_refusal(load, request, now_s)


def _caller_queue_limit(limits: Limits) -> int:
    """Returns how many tasks of one caller may wait at the service."""
    return max(1, int(limits.queue_tasks * limits.caller_share))


def _find_exceeded_limits(limits: Limits, tasks: int) -> list[Finding]:
    """Returns a finding for each task limit that the job exceeds."""
    bounds = (
        ('job_tasks', limits.job_tasks),
        ('queue_tasks', limits.queue_tasks),
        ('caller_share', _caller_queue_limit(limits)),
    )
    return [
        Finding('tasks', f'{tasks} tasks, limits.{name} allows {bound}')
        for name, bound in bounds
        if tasks > bound
    ]


def _find_oversized_tasks(
    load: ServiceLoad,
    request: JobRequest,
    now_s: float,
) -> list[Finding]:
    """Returns findings for tasks that fit no known worker, even idle."""
    sizes = {(task.cores, task.memory_mb) for task in request.tasks}
    oversized = {
        size
        for size in sizes
        if not load.pool.fits_known_worker(size[0], size[1], now_s)
    }
    findings: list[Finding] = []
    if oversized:
        for index, task in enumerate(request.tasks):
            if (task.cores, task.memory_mb) in oversized:
                findings.append(_describe_oversized_task(load, index, task))
    return findings[:MAX_FINDINGS]


def _describe_oversized_task(
    load: ServiceLoad, index: int, task: TaskSpec
) -> Finding:
    """Returns a finding with the largest size that a worker offers."""
    members = load.pool.members.values()
    most_cores = max(state.spec.cores for state in members)
    if task.cores > most_cores:
        return Finding(
            f'tasks[{index}].cores',
            f'{task.cores:g} cores, the largest worker has {most_cores:g}',
        )
    candidates = [
        state.spec for state in members if state.spec.cores >= task.cores
    ]
    most_memory_mb = max((spec.memory_mb for spec in candidates), default=0.0)
    return Finding(
        f'tasks[{index}].memory_mb',
        f'{task.memory_mb:g} MB, the largest worker with {task.cores:g} '
        f'cores has {most_memory_mb:g}',
    )


def _find_queue_refusal(
    load: ServiceLoad,
    request: JobRequest,
    now_s: float,
) -> Refusal | None:
    """Returns a refusal if the queue or the caller's quota is full."""
    tasks = len(request.tasks)
    limits = load.document.limits
    excess = load.waiting + tasks - limits.queue_tasks
    if excess > 0:
        return Refusal(
            RefusalReason.QUEUE_FULL,
            retry_after_s=load.estimate_retry_after_s(excess, now_s),
        )
    waiting = load.waiting_by_caller.get(request.caller, 0)
    excess = waiting + tasks - _caller_queue_limit(limits)
    if excess > 0:
        return Refusal(
            RefusalReason.QUOTA,
            retry_after_s=load.estimate_retry_after_s(excess, now_s),
        )
    return None
