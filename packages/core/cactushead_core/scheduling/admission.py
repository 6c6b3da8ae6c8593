"""Decision whether a submission may join the queue of its service.

Explanation:
    A submission that breaks the document for good (too many tasks, a task
    that no known worker can hold) is refused with findings and without a
    retry time. One that only has to wait for room in the queue is told when
    the queue has probably drained that far.

    While no upstream of the service is known, nobody can say what fits. Such
    a submission is queued under the same bounds: after a change of leader the
    agents announce themselves within a heartbeat, and the deadline of the job
    bounds the wait if they don't.
"""

from ..documents.model import Limits, ServiceState
from ..errors import Finding
from ..jobs.model import JobRequest, Refusal, RefusalReason, TaskSpec
from .service import ServiceLoad

# A service that is draining or stopped returns by its operator's hand.
NOT_SERVING_RETRY_AFTER_S = 30.0
MAX_FINDINGS = 20


def find_refusal(
    load: ServiceLoad,
    request: JobRequest,
    now_s: float,
    *,
    check_sizes: bool,
) -> Refusal | None:
    """Returns why a submission can't be admitted now, or None.

    Args:
        load: The service of the submission.
        request: The submission.
        now_s: The leader's monotonic clock.
        check_sizes: Whether the known workers are surely all workers.
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
    return max(1, int(limits.queue_tasks * limits.caller_share))


def _find_exceeded_limits(limits: Limits, tasks: int) -> list[Finding]:
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
