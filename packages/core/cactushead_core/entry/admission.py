"""Whether a submission is admitted, and the job that it becomes."""

from ..documents.model import RequestKind
from ..errors import Finding
from ..jobs.messages import SubmitJob
from ..jobs.model import Refusal, RefusalReason
from ..scheduling import QueuedTask
from .context import LeaderContext
from .job import OpenJob, OpenTask
from .state import JobRecord

JOB_TABLE_FULL_RETRY_S = 5.0


def find_refusal(
    context: LeaderContext,
    message: SubmitJob,
    open_jobs: int,
    now_s: float,
) -> Refusal | None:
    """Returns why a submission is refused, or None.

    Args:
        context: The leader's context.
        message: The submission.
        open_jobs: Number of jobs without a committed answer.
        now_s: Monotonic clock.
    """
    request = message.request
    config = context.config
    if message.age_s > config.timing.remember_s / 2:
        return Refusal(RefusalReason.TOO_OLD, not_run=False)
    document = context.state.documents.get(request.job.service)
    if document is None:
        finding = Finding('service', f'{request.job.service!r} is unknown')
        return Refusal(RefusalReason.UNKNOWN_SERVICE, findings=(finding,))
    if document.request_kind(request.kind) is None:
        finding = Finding('kind', f'{request.kind!r} is not declared')
        return Refusal(RefusalReason.INVALID, findings=(finding,))
    if open_jobs + len(context.state.jobs) >= config.bounds.jobs:
        return Refusal(
            RefusalReason.QUEUE_FULL,
            retry_after_s=JOB_TABLE_FULL_RETRY_S,
        )
    return context.scheduler.find_refusal(request, now_s)


def reopen_job(
    context: LeaderContext,
    record: JobRecord,
    now_s: float,
) -> OpenJob:
    """Returns the open job of a replicated record, for a new leader.

    Explanation:
        The earlier leader's clock is unknown, so the deadline starts anew;
        an entry that resubmits the job shortens it again.

    Args:
        context: The leader's context.
        record: The record of an admitted job without an answer.
        now_s: Monotonic clock.
    """
    request = record.request
    document = context.state.documents[request.job.service]
    kind = document.request_kind(request.kind)
    if kind is None:
        kind = RequestKind(request.kind, timeout_s=request.deadline_s)
    return OpenJob(
        request,
        kind,
        record.document_version,
        now_s + request.deadline_s,
        context.config.synced_admission or not record.repeatable,
        [OpenTask() for _ in request.tasks],
        admitted=True,
        exact_deadline=False,
        taken_over=True,
    )


def open_job(
    context: LeaderContext,
    message: SubmitJob,
    now_s: float,
) -> OpenJob:
    """Returns the job of an admitted submission.

    Args:
        context: The leader's context.
        message: The submission, whose kind is declared.
        now_s: Monotonic clock.
    """
    request = message.request
    document = context.state.documents[request.job.service]
    kind = document.request_kind(request.kind) or RequestKind(request.kind)
    return OpenJob(
        request,
        kind,
        document.version,
        now_s + request.deadline_s - message.age_s,
        context.config.synced_admission or not kind.repeatable,
        [OpenTask() for _ in request.tasks],
    )


def make_queued_task(
    context: LeaderContext,
    job: OpenJob,
    index: int,
    now_s: float,
) -> QueuedTask:
    """Returns a task of a job as the scheduler sees it.

    Args:
        context: The leader's context.
        job: The job.
        index: Index of the task.
        now_s: Monotonic clock.
    """
    request = job.request
    task = request.tasks[index]
    return QueuedTask(
        request.job,
        index,
        job.tasks[index].start + 1,
        context.state.documents[request.job.service].team,
        request.caller,
        request.kind,
        task.cores,
        task.memory_mb,
        now_s,
        job.deadline_s,
    )
