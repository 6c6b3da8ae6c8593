"""Value objects of jobs."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from ..errors import Finding

DIGEST_SIZE_BYTES = 16


class JobState(StrEnum):
    """State of a job; `COMPLETE` and `FAILED` are final."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'


class RefusalReason(StrEnum):
    """Reason why a request was refused or got no answer."""

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
    """Identity of a submitted job.

    Attributes:
        service: Name of the service.
        key: The caller's idempotency key.
    """

    service: str
    key: str

    def task_id(self, index: int) -> str:
        """Returns the id of one task of the job.

        Args:
            index: Index of the task in the job.

        Examples:
            >>> JobId('sample', 'k1').task_id(3)
            'sample/k1/3'
        """
        return f'{self.service}/{self.key}/{index}'


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task of a job.

    Attributes:
        input_json: The input as JSON text; parsed only by the upstream.
        cores: Declared demand for processor cores.
        memory_mb: Declared demand for memory, in megabytes.
    """

    input_json: bytes
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A submitted job in the form in which it is replicated.

    Attributes:
        job: Identity of the submission.
        caller: Name of the caller.
        kind: Request kind of the service's document.
        deadline_s: Maximum time from submission to the complete answer.
        tasks: The tasks, in the order of the results in the answer.
        digest: Digest of the content, compared when the job is resubmitted.
    """

    job: JobId
    caller: str
    kind: str
    deadline_s: float
    tasks: tuple[TaskSpec, ...]
    digest: bytes = b''


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The final answer of a job.

    Attributes:
        job: Identity of the submission.
        state: `COMPLETE` or `FAILED`.
        results: Results as JSON texts in task order; empty for a failed job.
        error: Why the job failed, empty for a complete one.
        not_run: Whether it is guaranteed that no task was or will be started.
    """

    job: JobId
    state: JobState
    results: tuple[bytes, ...]
    error: str = ''
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The current state of a job.

    Attributes:
        job: Identity of the submission.
        state: State of the job.
        tasks: Number of tasks.
        ended_tasks: Number of tasks that have an outcome.
        answer: The answer if the state is final, else None.
    """

    job: JobId
    state: JobState
    tasks: int
    ended_tasks: int
    answer: JobAnswer | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a request.

    Attributes:
        reason: Reason of the refusal.
        not_run: Whether it is guaranteed that nothing was or will be started.
        findings: Locations and descriptions of errors in the input.
        retry_after_s: Delay after which a retry makes sense, 0 for none.
    """

    reason: RefusalReason
    not_run: bool = True
    findings: tuple[Finding, ...] = ()
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Identity of one request that an entry forwards to a leader.

    Attributes:
        entry: Name of the entry.
        incarnation: The entry's incarnation.
        sequence: Number of the request within the incarnation.
    """

    entry: str
    incarnation: str
    sequence: int


def digest_request(request: JobRequest) -> bytes:
    """Returns the digest of a submission's content.

    Explanation:
        The digest covers the content sent by the caller except the deadline,
        because a client that resubmits a job may have less time left.

    Args:
        request: The submission; its `digest` field is ignored.

    Returns:
        A digest of 16 bytes.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE_BYTES)
    for text in (request.caller, request.kind):
        digest.update(f'{text}\0'.encode())
    for task in request.tasks:
        digest.update(f'{task.cores}/{task.memory_mb}/'.encode())
        digest.update(task.input_json)
        digest.update(b'\0')
    return digest.digest()
