"""Value objects of jobs."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from ..errors import Finding

DIGEST_SIZE_BYTES = 16


class JobState(StrEnum):
    """Where a job stands; the last two are final."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'


class RefusalReason(StrEnum):
    """Why work was refused or an exchange gave no answer."""

    INVALID = 'invalid request'
    UNKNOWN_SERVICE = 'unknown service'
    UNKNOWN_JOB = 'unknown job'
    KEY_CONFLICT = 'idempotency key was used with other content'
    VERSION_CONFLICT = 'document version conflict'
    TOO_LARGE = 'request too large'
    QUOTA = 'quota exceeded'
    QUEUE_FULL = 'queue full'
    NOT_SERVING = 'service is not serving'
    NO_LEADER = 'no leader known'
    DRAINING = 'entry is draining'
    TOO_OLD = 'request outlived its window'
    NO_ANSWER = 'no answer in time'


@dataclass(frozen=True, slots=True, order=True)
class JobId:
    """Identity of a submission.

    Attributes:
        service: Name of the service.
        key: The caller's idempotency key.
    """

    service: str
    key: str

    def task_id(self, index: int) -> str:
        """Returns the id of one task of the job.

        Examples:
            >>> JobId('sample', 'k1').task_id(3)
            'sample/k1/3'
        """
        return f'{self.service}/{self.key}/{index}'


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task of a job.

    Attributes:
        input_json: The input as JSON text; only the upstream reads it.
        cores: Declared processor cores.
        memory_mb: Declared memory.
    """

    input_json: bytes
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A submission as it is replicated.

    Attributes:
        job: Identity of the submission.
        caller: Who asks.
        kind: Request kind of the service's document.
        deadline_s: Time from submission to the whole answer.
        tasks: The tasks, in the order of the answer.
        digest: Digest of the content, compared on resubmission.
    """

    job: JobId
    caller: str
    kind: str
    deadline_s: float
    tasks: tuple[TaskSpec, ...]
    digest: bytes = b''


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The final state of a job.

    Attributes:
        job: Identity of the submission.
        state: `COMPLETE` or `FAILED`.
        results: JSON texts in task order; empty for a failed job.
        error: Why the job failed, empty for a complete one.
        not_run: Whether it is certain that no task was or can be started.
    """

    job: JobId
    state: JobState
    results: tuple[bytes, ...]
    error: str = ''
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The present state of a job.

    Attributes:
        job: Identity of the submission.
        state: Where the job stands.
        tasks: Number of tasks.
        ended_tasks: Number of tasks with an outcome.
        answer: The answer once the state is final.
    """

    job: JobId
    state: JobState
    tasks: int
    ended_tasks: int
    answer: JobAnswer | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused.

    Attributes:
        reason: Why.
        not_run: Whether it is certain that nothing was or can be started.
        findings: Places and findings, when the input is at fault.
        retry_after_s: When another try makes sense, 0 for never.
    """

    reason: RefusalReason
    not_run: bool = True
    findings: tuple[Finding, ...] = ()
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Identity of one forwarded exchange between an entry and a leader.

    Attributes:
        entry: Name of the entry.
        incarnation: The entry's incarnation.
        sequence: Number of the exchange within the incarnation.
    """

    entry: str
    incarnation: str
    sequence: int


def digest_request(request: JobRequest) -> bytes:
    """Returns the digest of a submission's content.

    Explanation:
        The digest covers what the caller sent, but for the deadline: a
        client that resubmits a job may have less time left for it.

    Args:
        request: The submission; its own digest field is not read.

    Returns:
        16 bytes.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE_BYTES)
    for text in (request.caller, request.kind):
        digest.update(f'{text}\0'.encode())
    for task in request.tasks:
        digest.update(f'{task.cores}/{task.memory_mb}/'.encode())
        digest.update(task.input_json)
        digest.update(b'\0')
    return digest.digest()
