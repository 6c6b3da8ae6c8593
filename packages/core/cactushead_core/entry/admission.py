"""Admission control: refuses submissions or makes open jobs of them."""

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
    """Returns the refusal of a submission, or None if it is admitted.

    Explanation:
        A submission older than half the retention time of answers is
        refused without `not_run`, since an earlier copy may have run and
        its answer may have been removed.

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
    """Returns the open job that a new leader makes of a job record.

    Explanation:
        The clock of the earlier leader is unknown, so the deadline is
        counted from now. It is shortened when an entry resubmits the job
        with its age.

    Args:
        context: The leader's context.
        record: Replicated record of an admitted job without an answer.
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
    """Returns the open job of a submission that passed admission.

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
    """Returns the queue entry of a task for its next start.

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
