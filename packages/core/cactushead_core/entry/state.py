"""Replicated state of a cell, built from committed log records."""

from dataclasses import dataclass, field, replace

from ..documents.model import ServiceDocument
from ..errors import CactusheadError
from ..jobs.model import JobAnswer, JobId, JobRequest, JobState
from ..jobs.records import (
    AgentRegistered,
    AgentRemoved,
    DocumentStored,
    JobAdmitted,
    JobEnded,
    JobsExpired,
    Placement,
    TasksPlaced,
)
from ..messages.base import Message, wire_type
from ..messages.codec import decode_message, encode_message

STATE_SNAPSHOT_CODE = 89
JOB_SNAPSHOT_CODE = 90


class StateInvariantError(CactusheadError):
    """A committed record contradicts the replicated state."""


@dataclass(slots=True)
class JobRecord:
    """An admitted job.

    Explanation:
        After the end of a job, only its digest and answer are needed for
        resubmissions, so its tasks are dropped. The placements of a complete
        job are dropped as well, since none of its tasks can still be
        running.

    Attributes:
        request: The submission; without tasks after the end of the job.
        document_version: Version of the document at admission.
        repeatable: Whether its kind is repeatable in that version.
        tasks: Number of its tasks.
        placements: Newest placement of each task, by task index.
        answer: The final answer, None before the end.
        encoded: Encoded form of an ended job. It is cached for the next
            snapshots, so that encoding all ended jobs again does not block
            the event loop.
    """

    request: JobRequest
    document_version: int
    repeatable: bool
    tasks: int
    placements: dict[int, Placement] = field(default_factory=dict)
    answer: JobAnswer | None = None
    encoded: bytes = b''


@wire_type(JOB_SNAPSHOT_CODE)
@dataclass(frozen=True, slots=True)
class JobSnapshot(Message):
    """A `JobRecord` as it is stored in snapshots."""

    request: JobRequest
    document_version: int
    repeatable: bool
    tasks: int
    placements: tuple[Placement, ...]
    answer: JobAnswer | None


@wire_type(STATE_SNAPSHOT_CODE)
@dataclass(frozen=True, slots=True)
class StateSnapshot(Message):
    """A `ReplicatedState` as a message; each job is encoded separately."""

    jobs: tuple[bytes, ...]
    agents: tuple[AgentRegistered, ...]
    documents: tuple[ServiceDocument, ...]


class ReplicatedState:
    """Jobs, registered agents and accepted documents.

    Explanation:
        Only records that a majority of the voters has synced are applied, so
        no change is ever rolled back.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.jobs: dict[JobId, JobRecord] = {}
        self.agents: dict[str, str] = {}
        self.documents: dict[str, ServiceDocument] = {}
        self._appliers = {
            JobAdmitted: self._apply_admitted,
            TasksPlaced: self._apply_placed,
            JobEnded: self._apply_ended,
            JobsExpired: self._apply_expired,
            AgentRegistered: self._apply_registered,
            AgentRemoved: self._apply_removed,
            DocumentStored: self._apply_document,
        }

    def apply(self, record: Message) -> None:
        """Applies one committed record; ignores records of other types.

        Args:
            record: The decoded record.

        Raises:
            StateInvariantError: The record contradicts the state.
        """
        applier = self._appliers.get(type(record))
        if applier is not None:
            applier(record)

    def snapshot(self) -> StateSnapshot:
        """Returns the state as a message."""
        return StateSnapshot(
            tuple(
                [
                    record.encoded or _encode_job(record)
                    for record in self.jobs.values()
                ]
            ),
            tuple(
                [
                    AgentRegistered(agent, incarnation)
                    for agent, incarnation in self.agents.items()
                ]
            ),
            tuple(self.documents.values()),
        )

    def restore(self, snapshot: StateSnapshot) -> None:
        """Replaces the state with that of a snapshot.

        Args:
            snapshot: The state, as returned by `snapshot`.

        Raises:
            StateInvariantError: The snapshot has an older document version
                or an encoded message that is not a job.
        """
        records = [_decode_job(encoded) for encoded in snapshot.jobs]
        self.jobs = {record.request.job: record for record in records}
        self.agents = {
            agent.agent: agent.incarnation for agent in snapshot.agents
        }
        for document in snapshot.documents:
            self._apply_document(DocumentStored(document))

    def _apply_admitted(self, record: JobAdmitted) -> None:
        job = record.request.job
        if job in self.jobs:
            raise StateInvariantError(f'job {job} is already admitted')
        self.jobs[job] = JobRecord(
            record.request,
            record.document_version,
            record.repeatable,
            len(record.request.tasks),
            {placement.index: placement for placement in record.placements},
        )

    def _apply_placed(self, record: TasksPlaced) -> None:
        for placement in record.placements:
            job = self.jobs.get(placement.job)
            if job is None:
                continue
            earlier = job.placements.get(placement.index)
            if earlier is not None and earlier.start >= placement.start:
                raise StateInvariantError(
                    f'start {placement.start} of task '
                    f'{placement.job.task_id(placement.index)} is not above '
                    'that of its earlier placement',
                )
            job.placements[placement.index] = placement
            job.encoded = b''

    def _apply_ended(self, record: JobEnded) -> None:
        job = self.jobs.get(record.answer.job)
        if job is None:
            raise StateInvariantError(
                f'ended job {record.answer.job} is unknown'
            )
        if job.answer is not None:
            raise StateInvariantError(
                f'job {record.answer.job} has already ended'
            )
        job.answer = record.answer
        job.request = replace(job.request, tasks=())
        if record.answer.state is JobState.COMPLETE:
            job.placements = {}
        job.encoded = _encode_job(job)

    def _apply_expired(self, record: JobsExpired) -> None:
        for job in record.jobs:
            if self.jobs[job].answer is None:
                raise StateInvariantError(f'expired job {job} has not ended')
            del self.jobs[job]

    def _apply_registered(self, record: AgentRegistered) -> None:
        self.agents[record.agent] = record.incarnation

    def _apply_removed(self, record: AgentRemoved) -> None:
        if self.agents.get(record.agent) == record.incarnation:
            del self.agents[record.agent]

    def _apply_document(self, record: DocumentStored) -> None:
        document = record.document
        current = self.documents.get(document.service)
        if current is not None and current.version > document.version:
            raise StateInvariantError(
                f'document {document.service} would be replaced: version '
                f'{current.version} by older version {document.version}',
            )
        self.documents[document.service] = document


def _encode_job(record: JobRecord) -> bytes:
    return encode_message(
        JobSnapshot(
            record.request,
            record.document_version,
            record.repeatable,
            record.tasks,
            tuple(record.placements.values()),
            record.answer,
        ),
    )


def _decode_job(encoded: bytes) -> JobRecord:
    snapshot = decode_message(encoded)
    if not isinstance(snapshot, JobSnapshot):
        raise StateInvariantError(
            'a job of a snapshot is not encoded as JobSnapshot'
        )
    return JobRecord(
        snapshot.request,
        snapshot.document_version,
        snapshot.repeatable,
        snapshot.tasks,
        {placement.index: placement for placement in snapshot.placements},
        snapshot.answer,
        b'' if snapshot.answer is None else encoded,
    )
