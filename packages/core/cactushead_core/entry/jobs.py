"""Submission, query, cancellation and deadlines of jobs at the leader."""

import heapq
from collections import deque

from ..effects import EventKind, Record
from ..jobs.messages import (
    CancelJob,
    JobReported,
    QueryJob,
    SubmitJob,
)
from ..jobs.model import Attempt, JobId, JobStatus, Refusal, RefusalReason
from .admission import find_refusal, open_job
from .agents import AgentRegistry
from .context import LeaderContext
from .finalizer import JobFinalizer
from .job import OpenJob, Waiter
from .outcomes import OutcomeHandler
from .placing import TaskPlacer
from .takeover import Takeover


class JobManager:
    """Manages the open jobs of one term, from submission to the answer."""

    def __init__(
        self,
        context: LeaderContext,
        registry: AgentRegistry,
        now_s: float,
    ) -> None:
        """Restores the open jobs from the replicated state.

        Args:
            context: The leader's context.
            registry: The agents of this term.
            now_s: Monotonic clock.
        """
        self._context = context
        self._jobs: dict[JobId, OpenJob] = {}
        self._deadlines: list[tuple[float, JobId]] = []
        self._refusals: dict[Attempt, Refusal] = {}
        self._refusal_expiries: deque[tuple[float, Attempt]] = deque()
        self._finalizer = JobFinalizer(context, registry, self._jobs, now_s)
        self.placer = TaskPlacer(context, registry, self._jobs, self._finalizer)
        self.outcomes = OutcomeHandler(
            context,
            registry,
            self._jobs,
            self._finalizer,
            self.placer,
        )
        takeover = Takeover(context, registry, self._finalizer, self.placer)
        for record in context.state.jobs.values():
            job = takeover.restore(record, now_s)
            if job is not None:
                self._track(job)
                takeover.restore_tasks(job, record, now_s)

    def submit(self, message: SubmitJob, entry: str, now_s: float) -> None:
        """Admits a submission, attaches it to its job or refuses it.

        Explanation:
            A submission with the key and digest of a known job waits for
            that job or gets its answer. The same key with another digest is
            refused as a conflict.

        Args:
            message: The submission, sent to the term of this leader.
            entry: Name of the entry that forwards it.
            now_s: Monotonic clock.
        """
        job_id = message.request.job
        waiter = Waiter(entry, message.attempt)
        known = self._known_digest(job_id)
        if known == message.request.digest:
            self._attach(message, waiter, now_s)
        elif known:
            conflict = Refusal(RefusalReason.KEY_CONFLICT)
            self._finalizer.send_refusal(waiter, conflict)
        elif message.attempt in self._refusals:
            self._finalizer.send_refusal(
                waiter, self._refusals[message.attempt]
            )
        else:
            self._admit(message, waiter, now_s)

    def query(self, message: QueryJob, entry: str) -> None:
        """Sends the status of a job, or refuses the query if it is unknown.

        Args:
            message: The query.
            entry: Name of the entry that forwards it.
        """
        status = self._find_status(message.job)
        if status is None:
            unknown = Refusal(RefusalReason.UNKNOWN_JOB, not_run=False)
            self._finalizer.send_refusal(
                Waiter(entry, message.attempt), unknown
            )
            return
        self._context.send(entry, JobReported(message.attempt, status))

    def cancel(self, message: CancelJob, entry: str, now_s: float) -> None:
        """Cancels a job; its answer waits for the outcomes of its agents.

        Args:
            message: The cancellation.
            entry: Name of the entry that forwards it.
            now_s: Monotonic clock.
        """
        job = self._jobs.get(message.job)
        if job is None or job.answered:
            self.query(QueryJob(message.attempt, 0, message.job), entry)
            return
        job.waiters[message.attempt] = Waiter(entry, message.attempt)
        if job.cancelled or job.answer is not None:
            return
        job.cancelled = True
        self._context.effects.append(Record(EventKind.CANCELLED, job.job))
        self._finalizer.cancel_tasks(job)
        self._finalizer.finish_if_done(job, now_s)

    def tick(self, now_s: float) -> None:
        """Fails jobs at their deadlines and removes expired jobs and refusals.

        Args:
            now_s: Monotonic clock.
        """
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, job_id = heapq.heappop(self._deadlines)
            job = self._jobs.get(job_id)
            if job is not None and job.deadline_s <= now_s:
                self._finalizer.fail(job, 'deadline passed')
        self._finalizer.tick(now_s)
        while self._refusal_expiries and self._refusal_expiries[0][0] <= now_s:
            _, attempt = self._refusal_expiries.popleft()
            self._refusals.pop(attempt, None)

    def fail_service(self, service: str) -> None:
        """Fails the open jobs of a service whose drain time has passed.

        Args:
            service: Name of the service.
        """
        for job in list(self._jobs.values()):
            if job.job.service == service:
                self._finalizer.fail(job, 'service was stopped')

    def _track(self, job: OpenJob) -> None:
        self._jobs[job.job] = job
        heapq.heappush(self._deadlines, (job.deadline_s, job.job))

    def _known_digest(self, job_id: JobId) -> bytes | None:
        job = self._jobs.get(job_id)
        if job is not None:
            return job.request.digest
        record = self._context.state.jobs.get(job_id)
        return None if record is None else record.request.digest

    def _attach(
        self,
        message: SubmitJob,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        job = self._jobs.get(message.request.job)
        if job is None:
            record = self._context.state.jobs[message.request.job]
            if record.answer is not None:
                self._finalizer.send_answer(waiter, record.answer)
            return
        deadline_s = now_s + message.request.deadline_s - message.age_s
        if not job.exact_deadline and deadline_s < job.deadline_s:
            job.deadline_s = deadline_s
            job.exact_deadline = True
            heapq.heappush(self._deadlines, (deadline_s, job.job))
        if job.answered and job.answer is not None:
            self._finalizer.send_answer(waiter, job.answer)
        elif message.wait:
            job.waiters[waiter.attempt] = waiter
        elif job.admitted:
            self._finalizer.send_acceptance(waiter, job)
        else:
            job.admission_waiters[waiter.attempt] = waiter

    def _admit(
        self,
        message: SubmitJob,
        waiter: Waiter,
        now_s: float,
    ) -> None:
        refusal = find_refusal(
            self._context,
            message,
            len(self._jobs),
            now_s,
        )
        if refusal is not None:
            self._store_refusal(message.attempt, refusal, now_s)
            self._finalizer.send_refusal(waiter, refusal)
            return
        job = open_job(self._context, message, now_s)
        self._track(job)
        self.placer.add_job(job)
        if message.wait:
            job.waiters[waiter.attempt] = waiter
        else:
            job.admission_waiters[waiter.attempt] = waiter
        for index, _ in enumerate(job.tasks):
            if not self.outcomes.adopt_orphan(job, index):
                self.placer.enqueue(job, index, now_s)

    def _store_refusal(
        self,
        attempt: Attempt,
        refusal: Refusal,
        now_s: float,
    ) -> None:
        # A delayed copy of the message must not be admitted after a refusal
        # has guaranteed that the request was not run.
        retention_s = self._context.config.timing.remember_s
        self._refusals[attempt] = refusal
        self._refusal_expiries.append((now_s + retention_s, attempt))

    def _find_status(self, job_id: JobId) -> JobStatus | None:
        job = self._jobs.get(job_id)
        if job is not None:
            return job.status()
        record = self._context.state.jobs.get(job_id)
        if record is None or record.answer is None:
            return None
        return JobStatus(
            job_id,
            record.answer.state,
            record.tasks,
            record.tasks,
            record.answer,
        )
