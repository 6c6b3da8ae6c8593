"""One worker process of the load tool.

Explanation:
    The load is open-loop: each job is submitted at its scheduled time,
    whether or not earlier jobs have been answered, and its response time is
    measured from that time. So the full delay from a stall of the system or
    of the worker is measured (no coordinated omission).
"""

import sys
import time

import trio

from ..client import (
    Client,
    HttpcoreTransport,
    InvalidResponseError,
    JobView,
    NoEntryAnswersError,
    RefusedError,
    Submission,
    TaskInput,
    Transport,
)
from .records import JobOutcome, JobRecord, WorkerConfig, encode_records
from .schedule import PlannedJob, Rng
from .shapes import SHAPES

RETRY_INTERVAL_S = 0.1
ANSWER_GRACE_S = 5.0
MAX_CONNECTIONS = 2000
HTTP_GATEWAY_TIMEOUT = 504


def make_task_inputs(job: PlannedJob, key: str) -> tuple[TaskInput, ...]:
    """Returns the inputs of a job's tasks, each with a value unique in the run.

    Args:
        job: The job.
        key: Its idempotency key.
    """
    return tuple(
        TaskInput(
            {
                'value': f'{key}/{index}',
                'sleep_ms': round(sleep_s * 1000, 3),
            }
        )
        for index, sleep_s in enumerate(job.sleeps_s)
    )


def is_correct(job: PlannedJob, key: str, view: JobView) -> bool:
    """Whether an answer holds the correct result of each task, in order.

    Args:
        job: The job.
        key: Its idempotency key.
        view: The answer.
    """
    expected = tuple(f'{key}/{index}' for index in range(len(job.sleeps_s)))
    return view.results == expected


class JobSubmitter:
    """Submits one job and retries until its outcome is known."""

    def __init__(
        self,
        config: WorkerConfig,
        job: PlannedJob,
        clients: tuple[Client, ...],
    ) -> None:
        """Prepares the job.

        Args:
            config: Configuration of the worker.
            job: The planned job.
            clients: One client for each entry.
        """
        self.job = job
        self.key = job.key(config.run)
        self.cancelled = False
        self._config = config
        self._clients = clients
        self._scheduled_s = config.start_s + job.at_s
        self._attempts = 0
        self._outcome_unknown = False
        self._said_not_run = False
        self._status = 0
        self._error = ''
        self._send_delay_s = 0.0

    async def submit(self) -> JobRecord:
        """Submits the job until its outcome is known or it times out.

        Explanation:
            All attempts use the same idempotency key. The time-out is the
            deadline plus a grace period for late answers.
        """
        self._send_delay_s = self._elapsed_s()
        while self._elapsed_s() < self._config.deadline_s + ANSWER_GRACE_S:
            record = await self._attempt()
            if record is not None:
                return record
            await trio.sleep(RETRY_INTERVAL_S)
        return self._make_record(JobOutcome.UNANSWERED)

    async def cancel(self) -> None:
        """Sends a cancellation to one entry; errors are ignored."""
        self.cancelled = True
        try:
            await self._next_client().cancel(self._config.service, self.key)
        except (NoEntryAnswersError, RefusedError, InvalidResponseError):
            return

    async def _attempt(self) -> JobRecord | None:
        """Sends one request; returns None if the job must be retried."""
        client = self._next_client()
        self._attempts += 1
        try:
            view = await client.submit(self._make_submission())
        except NoEntryAnswersError as error:
            self._error = str(error)
            self._outcome_unknown = (
                self._outcome_unknown or error.may_have_arrived
            )
            return None
        except InvalidResponseError as error:
            self._error = str(error)
            self._outcome_unknown = True
            return None
        except RefusedError as error:
            return self._handle_refusal(error)
        return self._handle_answer(view)

    def _handle_refusal(self, error: RefusedError) -> JobRecord | None:
        """Returns the record of a refused job, None if it must be retried.

        Explanation:
            If the outcome of an attempt is unknown, the job may be running in
            spite of a later refusal with status 503 or above. Only another
            request with the same key returns its outcome.
        """
        self._error = error.reason
        self._status = error.status
        self._said_not_run = self._said_not_run or error.not_run
        self._outcome_unknown = self._outcome_unknown or not error.not_run
        if self._outcome_unknown and error.status >= HTTP_GATEWAY_TIMEOUT - 1:
            return None
        return self._make_record(JobOutcome.REFUSED)

    def _handle_answer(self, view: JobView) -> JobRecord | None:
        """Returns the record of an ended job, None if it hasn't ended."""
        self._error = view.error
        self._said_not_run = self._said_not_run or view.not_run
        if view.state == 'complete':
            correct = is_correct(self.job, self.key, view)
            return self._make_record(JobOutcome.COMPLETE, correct)
        if view.state == 'failed':
            return self._make_record(JobOutcome.FAILED)
        return None

    def _make_record(
        self, outcome: JobOutcome, correct: bool = False
    ) -> JobRecord:
        """Returns the record of the job, which ends now."""
        return JobRecord(
            index=self.job.index,
            end=outcome,
            response_s=self._elapsed_s(),
            send_delay_s=self._send_delay_s,
            attempts=self._attempts,
            status=self._status,
            error=self._error,
            said_not_run=self._said_not_run,
            whole=correct,
            cancelled=self.cancelled,
        )

    def _make_submission(self) -> Submission:
        """Returns the next request, with the rest of the deadline."""
        left_s = self._config.deadline_s - self._elapsed_s()
        return Submission(
            service=self._config.service,
            key=self.key,
            kind=self.job.kind,
            caller=self.job.caller,
            deadline_s=max(left_s, RETRY_INTERVAL_S),
            tasks=make_task_inputs(self.job, self.key),
        )

    def _next_client(self) -> Client:
        """Returns the client for the next attempt, by round-robin."""
        number = self.job.index + self._attempts
        return self._clients[number % len(self._clients)]

    def _elapsed_s(self) -> float:
        """Returns the time since the scheduled arrival."""
        return time.monotonic() - self._scheduled_s


class LoadWorker:
    """Submits one worker's share of the schedule."""

    def __init__(self, config: WorkerConfig, transport: Transport) -> None:
        """Generates the schedule and selects the worker's jobs.

        Args:
            config: Configuration of the worker.
            transport: Sends the requests.
        """
        self._config = config
        self._clients = tuple(
            Client(transport, (entry,)) for entry in config.entries
        )
        schedule = SHAPES[config.spec.shape].schedule(config.spec)
        self._jobs = schedule[config.worker :: config.workers]
        self._open_jobs: dict[int, JobSubmitter] = {}
        self._records: list[JobRecord] = []

    async def run(self) -> list[JobRecord]:
        """Submits all jobs and returns their records."""
        async with trio.open_nursery() as nursery:
            if self._config.cancel_at_s >= 0:
                nursery.start_soon(self._cancel_open_jobs)
            for job in sorted(self._jobs, key=lambda planned: planned.at_s):
                await self._sleep_until(job.at_s)
                nursery.start_soon(self._run_job, job)
        return self._records

    async def _run_job(self, job: PlannedJob) -> None:
        """Submits a job and keeps its record."""
        submitter = JobSubmitter(self._config, job, self._clients)
        self._open_jobs[job.index] = submitter
        record = await submitter.submit()
        self._open_jobs.pop(job.index)
        self._records.append(record)

    async def _cancel_open_jobs(self) -> None:
        """Cancels a random share of the open jobs at the configured time."""
        await self._sleep_until(self._config.cancel_at_s)
        rng = Rng(f'{self._config.spec.seed}/cancel/{self._config.worker}')
        async with trio.open_nursery() as nursery:
            for submitter in tuple(self._open_jobs.values()):
                if rng.random() < self._config.cancel_share:
                    nursery.start_soon(submitter.cancel)

    async def _sleep_until(self, at_s: float) -> None:
        """Waits until a time in seconds from the start of the run."""
        left_s = self._config.start_s + at_s - time.monotonic()
        await trio.sleep(max(left_s, 0))


def main() -> None:
    """Runs a worker: configuration on stdin, job records on stdout."""
    config = WorkerConfig.decode(sys.stdin.buffer.read())
    worker = LoadWorker(config, HttpcoreTransport(MAX_CONNECTIONS))
    records = trio.run(worker.run)
    sys.stdout.buffer.write(encode_records(records))


if __name__ == '__main__':
    main()
