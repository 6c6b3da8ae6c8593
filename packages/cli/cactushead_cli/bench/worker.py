"""One worker process of the load tool.

Explanation:
    The load is open-loop: each job is submitted at its scheduled time,
    whether or not earlier ones are answered, and its response counts from
    that time. So a stall of the system, or of the worker, is counted in full
    (no coordinated omission).
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
from .records import JobEnd, JobRecord, WorkerOrder, encode_records
from .schedule import PlannedJob, Rng
from .shapes import SHAPES

RETRY_S = 0.1
GRACE_S = 5.0
MAX_CONNECTIONS = 2000
HTTP_NO_ANSWER = 504


def job_tasks(job: PlannedJob, key: str) -> tuple[TaskInput, ...]:
    """Returns a job's tasks; the value of each is its own in the run.

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


def is_whole(job: PlannedJob, key: str, view: JobView) -> bool:
    """Whether an answer holds the right value for each task, in order.

    Args:
        job: The job.
        key: Its idempotency key.
        view: The answer.
    """
    expected = tuple(f'{key}/{index}' for index in range(len(job.sleeps_s)))
    return view.results == expected


class JobRun:
    """One job of the run, from its scheduled arrival to its end."""

    def __init__(
        self,
        order: WorkerOrder,
        job: PlannedJob,
        clients: tuple[Client, ...],
    ) -> None:
        """Prepares the job.

        Args:
            order: The worker's order.
            job: The job.
            clients: One client for each entry.
        """
        self.job = job
        self.key = job.key(order.run)
        self.cancelled = False
        self._order = order
        self._clients = clients
        self._scheduled_s = order.start_s + job.at_s
        self._attempts = 0
        self._unknown = False
        self._said_not_run = False
        self._status = 0
        self._error = ''
        self._send_delay_s = 0.0

    async def perform(self) -> JobRecord:
        """Submits the job until its end is known or its time is over."""
        self._send_delay_s = self._passed_s()
        while self._passed_s() < self._order.deadline_s + GRACE_S:
            record = await self._attempt()
            if record is not None:
                return record
            await trio.sleep(RETRY_S)
        return self._record(JobEnd.UNANSWERED)

    async def cancel(self) -> None:
        """Cancels the job through one entry."""
        self.cancelled = True
        try:
            await self._next_client().cancel(self._order.service, self.key)
        except (NoEntryAnswersError, RefusedError, InvalidResponseError):
            return

    async def _attempt(self) -> JobRecord | None:
        client = self._next_client()
        self._attempts += 1
        try:
            view = await client.submit(self._submission())
        except NoEntryAnswersError as error:
            self._error = str(error)
            self._unknown = self._unknown or error.may_have_arrived
            return None
        except InvalidResponseError as error:
            self._error = str(error)
            self._unknown = True
            return None
        except RefusedError as error:
            return self._refused(error)
        return self._answered(view)

    def _refused(self, error: RefusedError) -> JobRecord | None:
        self._error = error.reason
        self._status = error.status
        self._said_not_run = self._said_not_run or error.not_run
        self._unknown = self._unknown or not error.not_run
        if self._unknown and error.status >= HTTP_NO_ANSWER - 1:
            return None
        return self._record(JobEnd.REFUSED)

    def _answered(self, view: JobView) -> JobRecord | None:
        self._error = view.error
        self._said_not_run = self._said_not_run or view.not_run
        if view.state == 'complete':
            whole = is_whole(self.job, self.key, view)
            return self._record(JobEnd.COMPLETE, whole)
        if view.state == 'failed':
            return self._record(JobEnd.FAILED)
        return None

    def _record(self, end: JobEnd, whole: bool = False) -> JobRecord:
        return JobRecord(
            index=self.job.index,
            end=end,
            response_s=self._passed_s(),
            send_delay_s=self._send_delay_s,
            attempts=self._attempts,
            status=self._status,
            error=self._error,
            said_not_run=self._said_not_run,
            whole=whole,
            cancelled=self.cancelled,
        )

    def _submission(self) -> Submission:
        left_s = self._order.deadline_s - self._passed_s()
        return Submission(
            service=self._order.service,
            key=self.key,
            kind=self.job.kind,
            caller=self.job.caller,
            deadline_s=max(left_s, RETRY_S),
            tasks=job_tasks(self.job, self.key),
        )

    def _next_client(self) -> Client:
        number = self.job.index + self._attempts
        return self._clients[number % len(self._clients)]

    def _passed_s(self) -> float:
        return time.monotonic() - self._scheduled_s


class LoadWorker:
    """Submits its part of the schedule."""

    def __init__(self, order: WorkerOrder, transport: Transport) -> None:
        """Plans the jobs.

        Args:
            order: What to do.
            transport: Carries the requests.
        """
        self._order = order
        self._clients = tuple(
            Client(transport, (entry,)) for entry in order.entries
        )
        schedule = SHAPES[order.spec.shape].schedule(order.spec)
        self._jobs = schedule[order.worker :: order.workers]
        self._open: dict[int, JobRun] = {}
        self._records: list[JobRecord] = []

    async def run(self) -> list[JobRecord]:
        """Submits all jobs and returns what became of each."""
        async with trio.open_nursery() as nursery:
            if self._order.cancel_at_s >= 0:
                nursery.start_soon(self._cancel_wave)
            for job in sorted(self._jobs, key=lambda planned: planned.at_s):
                await self._sleep_until(job.at_s)
                nursery.start_soon(self._run_job, job)
        return self._records

    async def _run_job(self, job: PlannedJob) -> None:
        job_run = JobRun(self._order, job, self._clients)
        self._open[job.index] = job_run
        record = await job_run.perform()
        self._open.pop(job.index)
        self._records.append(record)

    async def _cancel_wave(self) -> None:
        await self._sleep_until(self._order.cancel_at_s)
        rng = Rng(f'{self._order.spec.seed}/cancel/{self._order.worker}')
        async with trio.open_nursery() as nursery:
            for job_run in tuple(self._open.values()):
                if rng.random() < self._order.cancel_share:
                    nursery.start_soon(job_run.cancel)

    async def _sleep_until(self, at_s: float) -> None:
        left_s = self._order.start_s + at_s - time.monotonic()
        await trio.sleep(max(left_s, 0))


def main() -> None:
    """Reads an order from standard input and writes the records."""
    order = WorkerOrder.decode(sys.stdin.buffer.read())
    worker = LoadWorker(order, HttpcoreTransport(MAX_CONNECTIONS))
    records = trio.run(worker.run)
    sys.stdout.buffer.write(encode_records(records))


if __name__ == '__main__':
    main()
