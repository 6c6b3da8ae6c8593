"""State that all voters replicate, built from committed records."""

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
        Once it has ended, a resubmission needs the digest and the answer
        only, so the tasks are dropped, and the placements of a complete job,
        of which no upstream can still run any.

    Attributes:
        request: The submission; without tasks once the job has ended.
        document_version: Version of the document at admission.
        repeatable: Whether its kind was repeatable under that version.
        tasks: Number of its tasks.
        placements: Newest placement by task index.
        answer: The final answer, once there is one.
        encoded: Encoded form of an ended job, kept for the next snapshots,
            so that a snapshot doesn't stop the loop for all ended jobs.
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
    """Encoded form of a `JobRecord`."""

    request: JobRequest
    document_version: int
    repeatable: bool
    tasks: int
    placements: tuple[Placement, ...]
    answer: JobAnswer | None


@wire_type(STATE_SNAPSHOT_CODE)
@dataclass(frozen=True, slots=True)
class StateSnapshot(Message):
    """Encoded form of a `ReplicatedState`; each job is encoded by itself."""

    jobs: tuple[bytes, ...]
    agents: tuple[AgentRegistered, ...]
    documents: tuple[ServiceDocument, ...]


class ReplicatedState:
    """Jobs, registered agents and accepted documents.

    Explanation:
        Only records that a synced majority holds are applied, so nothing
        here is ever taken back.
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
            JobsExpired: self._apply_forgotten,
            AgentRegistered: self._apply_registered,
            AgentRemoved: self._apply_gone,
            DocumentStored: self._apply_document,
        }

    def apply(self, record: Message) -> None:
        """Applies one committed record; others than its own do nothing.

        Args:
            record: The decoded record.

        Raises:
            StateInvariantError: The record contradicts the state.
        """
        applier = self._appliers.get(type(record))
        if applier is not None:
            applier(record)

    def snapshot(self) -> StateSnapshot:
        """Returns the encoded form of the state."""
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
        """Replaces the state by that of a snapshot.

        Args:
            snapshot: What `snapshot` returned.

        Raises:
            StateInvariantError: The snapshot holds an older document.
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
            raise StateInvariantError(f'job {job} is admitted twice')
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
                    f'placement {placement.start} of '
                    f'{placement.job.task_id(placement.index)} is not new',
                )
            job.placements[placement.index] = placement
            job.encoded = b''

    def _apply_ended(self, record: JobEnded) -> None:
        job = self.jobs.get(record.answer.job)
        if job is None:
            raise StateInvariantError(f'job {record.answer.job} is unknown')
        if job.answer is not None:
            raise StateInvariantError(f'job {record.answer.job} ended twice')
        job.answer = record.answer
        job.request = replace(job.request, tasks=())
        if record.answer.state is JobState.COMPLETE:
            job.placements = {}
        job.encoded = _encode_job(job)

    def _apply_forgotten(self, record: JobsExpired) -> None:
        for job in record.jobs:
            if self.jobs[job].answer is None:
                raise StateInvariantError(f'open job {job} is forgotten')
            del self.jobs[job]

    def _apply_registered(self, record: AgentRegistered) -> None:
        self.agents[record.agent] = record.incarnation

    def _apply_gone(self, record: AgentRemoved) -> None:
        if self.agents.get(record.agent) == record.incarnation:
            del self.agents[record.agent]

    def _apply_document(self, record: DocumentStored) -> None:
        document = record.document
        held = self.documents.get(document.service)
        if held is not None and held.version > document.version:
            raise StateInvariantError(
                f'document {document.service} would go back from version '
                f'{held.version} to {document.version}',
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
        raise StateInvariantError('a snapshot holds something but jobs')
    return JobRecord(
        snapshot.request,
        snapshot.document_version,
        snapshot.repeatable,
        snapshot.tasks,
        {placement.index: placement for placement in snapshot.placements},
        snapshot.answer,
        b'' if snapshot.answer is None else encoded,
    )
