"""End of jobs: cancellation, final answers and removal after retention."""

from collections import deque

from ..agents.model import TaskRef
from ..effects import Count, EventKind, Record
from ..jobs.messages import JobAccepted, JobAnswered, JobRefused
from ..jobs.model import JobAnswer, JobId, Refusal
from ..jobs.records import JobEnded, JobsExpired
from .agents import AgentRegistry
from .context import LeaderContext, Proposal
from .job import OpenJob, TaskPhase, Waiter

REMOVAL_INTERVAL_S = 1.0


class JobFinalizer:
    """Decides the final answer of each job once and later removes the job.

    Explanation:
        Outcomes that arrived before the answer are acknowledged to their
        agents once a majority of the voters has synced it. An ended job is
        kept for `remember_s`, so that resubmissions get the same answer.
    """

    def __init__(
        self,
        context: LeaderContext,
        registry: AgentRegistry,
        jobs: dict[JobId, OpenJob],
        now_s: float,
    ) -> None:
        """Starts without ended jobs to remove.

        Args:
            context: The leader's context.
            registry: The agents of this term.
            jobs: Jobs without a committed answer, shared with the manager.
            now_s: Monotonic clock.
        """
        self._context = context
        self._registry = registry
        self._jobs = jobs
        self._removal_queue: deque[tuple[float, JobId]] = deque()
        self._removal_due_s = now_s

    def cancel_tasks(self, job: OpenJob) -> None:
        """Cancels the tasks of a job in the queue and at their agents.

        Args:
            job: The job.
        """
        for waiting in self._context.scheduler.cancel_job(job.job):
            job.tasks[waiting.index].phase = TaskPhase.ENDED
        for index, task in enumerate(job.tasks):
            if task.phase is TaskPhase.WAITING:
                task.phase = TaskPhase.ENDED
            if task.outstanding:
                ref = TaskRef(job.job, index, task.start)
                self._registry.cancel_task(ref, task.agent)

    def fail(self, job: OpenJob, error: str) -> None:
        """Fails a job and cancels its tasks, unless its answer is decided.

        Args:
            job: The job.
            error: The cause, reported to the caller.
        """
        if job.answer is not None:
            return
        self.cancel_tasks(job)
        self._propose_answer(job, job.failed_answer(error))

    def finish_if_done(self, job: OpenJob, now_s: float) -> None:
        """Ends a job that waits for no task, or removes it once answered.

        Explanation:
            A job is complete when all tasks have succeeded. A cancelled job
            fails once none of its tasks can be at an agent. An answered job
            is removed from the open jobs when, in addition, the record of
            its end is applied.

        Args:
            job: The job.
            now_s: Monotonic clock.
        """
        if job.answer is not None:
            self._remove_if_idle(job, now_s)
        elif job.ended_tasks == len(job.tasks):
            self._propose_answer(job, job.complete_answer())
        elif job.cancelled and not job.outstanding:
            self._propose_answer(job, job.failed_answer('cancelled'))

    def schedule_removal(self, job_id: JobId, now_s: float) -> None:
        """Schedules the removal of an ended job after `remember_s`.

        Args:
            job_id: Identity of the job.
            now_s: Monotonic clock.
        """
        retention_s = self._context.config.timing.remember_s
        self._removal_queue.append((now_s + retention_s, job_id))

    def tick(self, now_s: float) -> None:
        """Proposes to remove the jobs whose retention time has expired.

        Args:
            now_s: Monotonic clock.
        """
        if now_s < self._removal_due_s:
            return
        self._removal_due_s = now_s + REMOVAL_INTERVAL_S
        expired: list[JobId] = []
        while self._removal_queue and self._removal_queue[0][0] <= now_s:
            _, job_id = self._removal_queue.popleft()
            expired.append(job_id)
        if expired:
            self._context.propose(Proposal(JobsExpired(tuple(expired))))

    def send_answer(self, waiter: Waiter, answer: JobAnswer) -> None:
        """Sends the final answer of a job to a waiting exchange.

        Args:
            waiter: The exchange.
            answer: The answer.
        """
        self._context.send(waiter.entry, JobAnswered(waiter.attempt, answer))

    def send_acceptance(self, waiter: Waiter, job: OpenJob) -> None:
        """Informs a waiting exchange that the admission is committed.

        Args:
            waiter: The exchange.
            job: The job.
        """
        message = JobAccepted(waiter.attempt, job.status())
        self._context.send(waiter.entry, message)

    def send_refusal(self, waiter: Waiter, refusal: Refusal) -> None:
        """Sends an exchange its refusal and counts it.

        Args:
            waiter: The exchange.
            refusal: The refusal.
        """
        self._context.send(waiter.entry, JobRefused(waiter.attempt, refusal))
        self._context.effects.append(Count('refusals', refusal.reason))

    def _propose_answer(self, job: OpenJob, answer: JobAnswer) -> None:
        job.answer = answer

        def on_answer_committed(now_s: float) -> None:
            job.answered = True
            for waiter in job.waiters.values():
                self.send_answer(waiter, answer)
            job.waiters = {}
            self._context.effects.append(
                Record(
                    EventKind.JOB_ENDED,
                    job.job,
                    detail=answer.error or answer.state,
                ),
            )
            self._context.effects.append(Count('jobs', answer.state))

        def on_answer_synced(now_s: float) -> None:
            for index, task in enumerate(job.tasks):
                if task.start > 0 and not task.outstanding:
                    task_id = job.job.task_id(index)
                    self._registry.acknowledge(task.agent, task_id)
            self._remove_if_idle(job, now_s)

        self._context.propose(
            Proposal(
                JobEnded(answer),
                on_answer_committed,
                answer.not_run,
                on_answer_synced,
            ),
        )

    def _remove_if_idle(self, job: OpenJob, now_s: float) -> None:
        record = self._context.state.jobs.get(job.job)
        ended = record is not None and record.answer is not None
        if not ended or job.outstanding or job.job not in self._jobs:
            return
        del self._jobs[job.job]
        self.schedule_removal(job.job, now_s)
