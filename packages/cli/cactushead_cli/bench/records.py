"""What the load workers are told and what they report."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import StrEnum

from ..client.fields import Fields
from .shapes import LoadSpec


class JobEnd(StrEnum):
    """How a job of the run ended for its caller."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """What one worker process of the load tool does.

    Attributes:
        spec: The load; each worker plans the whole schedule and takes its
            part of the jobs.
        run: Prefix of the idempotency keys.
        service: Name of the service.
        entries: Addresses of the entries.
        deadline_s: Deadline of each job.
        worker: Number of the worker.
        workers: Number of workers.
        start_s: The machine's monotonic clock at the start of the run.
        cancel_at_s: When a wave of cancellations comes, negative for none.
        cancel_share: Share of open jobs that the wave cancels.
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
        """Returns the order as JSON."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, body: bytes) -> 'WorkerOrder':
        """Reads an order that `encode` wrote."""
        raw = json.loads(body)
        spec = LoadSpec(**raw.pop('spec'))
        entries = tuple(raw.pop('entries'))
        return cls(spec=spec, entries=entries, **raw)


@dataclass(frozen=True, slots=True)
class JobRecord:
    """What became of one job of the run.

    Attributes:
        index: The job's place in the schedule.
        end: How it ended for its caller.
        response_s: From the scheduled arrival to the answer.
        send_delay_s: From the scheduled arrival to the first request.
        attempts: Number of requests.
        status: HTTP status of the last refusal, 0 for none.
        error: Why it failed or was refused.
        said_not_run: Whether any answer said that nothing was run.
        whole: Whether the answer holds the right value for each task.
        cancelled: Whether the wave of cancellations hit it.
    """

    index: int
    end: JobEnd
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
        >>> record = JobRecord(3, JobEnd.COMPLETE, 0.2, 0.0, 1, whole=True)
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
        index=fields.whole('index'),
        end=JobEnd(fields.text('end')),
        response_s=fields.number('response_s'),
        send_delay_s=fields.number('send_delay_s'),
        attempts=fields.whole('attempts'),
        status=fields.whole('status'),
        error=fields.text('error'),
        said_not_run=fields.flag('said_not_run'),
        whole=fields.flag('whole'),
        cancelled=fields.flag('cancelled'),
    )
