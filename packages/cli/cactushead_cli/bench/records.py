"""Configuration of the load workers and the job records they return."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import StrEnum

from ..client.fields import Fields
from .shapes import LoadSpec


class JobOutcome(StrEnum):
    """Outcome of a job from its caller's point of view."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class WorkerConfig:
    """Configuration of one worker process of the load tool.

    Attributes:
        spec: The offered load; each worker generates the complete schedule
            and submits its own share of the jobs.
        run: Prefix of the idempotency keys.
        service: Name of the service.
        entries: Addresses of the entries.
        deadline_s: Deadline of each job.
        worker: Index of the worker.
        workers: Number of workers.
        start_s: Start of the run on the machine's monotonic clock.
        cancel_at_s: Time of the mass cancellation, in seconds from the start
            of the run; negative for none.
        cancel_share: Share of the open jobs that are cancelled then.
    """

    spec: LoadSpec
    run: str
    service: str
    entries: tuple[str, ...]
    deadline_s: float
    worker: int
    workers: int
    start_s: float
    cancel_at_s: float = -1.0
    cancel_share: float = 0.5

    def encode(self) -> bytes:
        """Returns the configuration as JSON."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, body: bytes) -> 'WorkerConfig':
        """Reads a configuration that `encode` wrote."""
        raw = json.loads(body)
        spec = LoadSpec(**raw.pop('spec'))
        entries = tuple(raw.pop('entries'))
        return cls(spec=spec, entries=entries, **raw)


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Result of one job of the run.

    Attributes:
        index: Index of the job in the schedule.
        end: Outcome for the caller.
        response_s: Time from the scheduled arrival to the answer.
        send_delay_s: Time from the scheduled arrival to the first request.
        attempts: Number of requests.
        status: HTTP status of the last refusal, 0 for none.
        error: Reason of the failure or refusal.
        said_not_run: Whether any answer stated that no task was run.
        whole: Whether the answer holds the correct result of each task.
        cancelled: Whether the load tool cancelled the job.
    """

    index: int
    end: JobOutcome
    response_s: float
    send_delay_s: float
    attempts: int
    status: int = 0
    error: str = ''
    said_not_run: bool = False
    whole: bool = False
    cancelled: bool = False


def encode_records(records: Iterable[JobRecord]) -> bytes:
    """Returns records as JSON lines."""
    lines = [json.dumps(asdict(record)) for record in records]
    return '\n'.join(lines).encode()


def decode_records(body: bytes) -> list[JobRecord]:
    """Reads records that `encode_records` wrote.

    Examples:
        >>> record = JobRecord(3, JobOutcome.COMPLETE, 0.2, 0.0, 1, whole=True)
        >>> decode_records(encode_records([record])) == [record]
        True
    """
    return [
        _read_record(Fields.decode(line))
        for line in body.splitlines()
        if line.strip()
    ]


def _read_record(fields: Fields) -> JobRecord:
    return JobRecord(
        index=fields.integer('index'),
        end=JobOutcome(fields.text('end')),
        response_s=fields.number('response_s'),
        send_delay_s=fields.number('send_delay_s'),
        attempts=fields.integer('attempts'),
        status=fields.integer('status'),
        error=fields.text('error'),
        said_not_run=fields.flag('said_not_run'),
        whole=fields.flag('whole'),
        cancelled=fields.flag('cancelled'),
    )
