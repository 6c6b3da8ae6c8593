"""The end of jobs: final answers, acknowledgement and forgetting."""

from collections import deque

from ..agents.model import TaskRef
from ..effects import Count, EventKind, Record
from ..jobs.messages import JobAccepted, JobAnswered, JobRefused
from ..jobs.model import JobAnswer, JobId, Refusal
from ..jobs.records import JobEnded, JobsExpired
from .agents import AgentRegistry
from .context import LeaderContext, Proposal
from .job import OpenJob, TaskPhase, Waiter

FORGET_BATCH_S = 1.0


class JobCloser:
    """Gives each job its one final answer and forgets it in time."""

    def __init__(
        self,
        context: LeaderContext,
        registry: AgentRegistry,
        jobs: dict[JobId, OpenJob],
        now_s: float,
    ) -> None:
        """Starts without ended jobs.

        Args:
            context: The leader's context.
            registry: The agents of this term.
            jobs: Jobs without a committed answer, shared with the manager.
            now_s: Monotonic clock.
        """
        self._context = context
        self._registry = registry
        self._jobs = jobs
        self._remembered: deque[tuple[float, JobId]] = deque()
        self._forget_due_s = now_s

    def withdraw(self, job: OpenJob) -> None:
        """Takes a job's tasks out of the queue and from their agents.

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
                self._registry.cancel(ref, task.agent)

    def fail(self, job: OpenJob, error: str) -> None:
        """Marks a job failed, unless it has an answer.

        Args:
            job: The job.
            error: Why it failed.
        """
        if job.answer is not None:
            return
        self.withdraw(job)
        self._end(job, job.failed_answer(error))

    def settle(self, job: OpenJob, now_s: float) -> None:
        """Ends a job whose tasks have all succeeded or been withdrawn.

        Args:
            job: The job.
            now_s: Monotonic clock.
        """
        if job.answer is not None:
            self._drop_when_idle(job, now_s)
        elif job.ended_tasks == len(job.tasks):
            self._end(job, job.complete_answer())
        elif job.cancelled and not job.outstanding:
            self._end(job, job.failed_answer('cancelled'))

    def remember(self, job_id: JobId, now_s: float) -> None:
        """Notes an ended job, to be forgotten when its time is over.

        Args:
            job_id: The job.
            now_s: Monotonic clock.
        """
        remember_s = self._context.config.timing.remember_s
        self._remembered.append((now_s + remember_s, job_id))

    def tick(self, now_s: float) -> None:
        """Forgets jobs whose time to be remembered is over.

        Args:
            now_s: Monotonic clock.
        """
        if now_s < self._forget_due_s:
            return
        self._forget_due_s = now_s + FORGET_BATCH_S
        forgotten: list[JobId] = []
        while self._remembered and self._remembered[0][0] <= now_s:
            _, job_id = self._remembered.popleft()
            forgotten.append(job_id)
        if forgotten:
            self._context.propose(Proposal(JobsExpired(tuple(forgotten))))

    def answer(self, waiter: Waiter, answer: JobAnswer) -> None:
        """Sends an exchange its final answer.

        Args:
            waiter: The exchange.
            answer: The answer.
        """
        self._context.send(waiter.entry, JobAnswered(waiter.attempt, answer))

    def accept(self, waiter: Waiter, job: OpenJob) -> None:
        """Tells an exchange that its job is admitted for good.

        Args:
            waiter: The exchange.
            job: The job.
        """
        message = JobAccepted(waiter.attempt, job.status())
        self._context.send(waiter.entry, message)

    def refuse(self, waiter: Waiter, refusal: Refusal) -> None:
        """Tells an exchange why it is refused.

        Args:
            waiter: The exchange.
            refusal: Why.
        """
        self._context.send(waiter.entry, JobRefused(waiter.attempt, refusal))
        self._context.effects.append(Count('refusals', refusal.reason))

    def _end(self, job: OpenJob, answer: JobAnswer) -> None:
        job.answer = answer

        def answered(now_s: float) -> None:
            job.answered = True
            for waiter in job.waiters.values():
                self.answer(waiter, answer)
            job.waiters = {}
            self._context.effects.append(
                Record(
                    EventKind.JOB_ENDED,
                    job.job,
                    detail=answer.error or answer.state,
                ),
            )
            self._context.effects.append(Count('jobs', answer.state))

        def closed(now_s: float) -> None:
            for index, task in enumerate(job.tasks):
                if task.start > 0 and not task.outstanding:
                    task_id = job.job.task_id(index)
                    self._registry.acknowledge(task.agent, task_id)
            self._drop_when_idle(job, now_s)

        self._context.propose(
            Proposal(JobEnded(answer), answered, answer.not_run, closed),
        )

    def _drop_when_idle(self, job: OpenJob, now_s: float) -> None:
        record = self._context.state.jobs.get(job.job)
        ended = record is not None and record.answer is not None
        if not ended or job.outstanding or job.job not in self._jobs:
            return
        del self._jobs[job.job]
        self.remember(job.job, now_s)
