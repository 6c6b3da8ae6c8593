"""Placement of queued tasks, its records and the assignments to agents."""

from ..agents.messages import Assign
from ..agents.model import Assignment, TaskRef
from ..effects import EventKind, Measure, Record
from ..jobs.model import JobId
from ..jobs.records import JobAdmitted, Placement, TasksPlaced
from ..scheduling import PlacedTask
from .admission import make_queued_task
from .agents import AgentRegistry, AgentView
from .barrier import TakeoverBarrier
from .context import LeaderContext, Proposal
from .finalizer import JobFinalizer
from .job import OpenJob, TaskPhase

DEFERRED_RECORD_DELAY_S = 0.05


class TaskPlacer:
    """Places queued tasks and sends assignments to the agents.

    Explanation:
        A task is assigned after the admission of its job is committed. The
        first placement of a task that had to wait in the queue is logged
        after the assignment: with the next other records, or after
        `DEFERRED_RECORD_DELAY_S`. Later placements of a task are committed
        before the assignment.
    """

    def __init__(
        self,
        context: LeaderContext,
        registry: AgentRegistry,
        jobs: dict[JobId, OpenJob],
        finalizer: JobFinalizer,
    ) -> None:
        """Starts without placements.

        Args:
            context: The leader's context.
            registry: The agents of this term.
            jobs: Jobs without a committed answer, shared with the manager.
            finalizer: Sends acceptances to waiting exchanges.
        """
        self._context = context
        self._registry = registry
        self._jobs = jobs
        self._finalizer = finalizer
        self._new_jobs: dict[JobId, OpenJob] = {}
        self._deferred: list[Placement] = []
        self._deferred_due_s = 0.0
        self.barrier = TakeoverBarrier(context.term, set(registry.views))
        self._assignments: dict[str, list[Assignment]] = {}

    def add_job(self, job: OpenJob) -> None:
        """Adds a job whose admission is proposed at the end of the turn.

        Args:
            job: The job.
        """
        self._new_jobs[job.job] = job

    def enqueue(self, job: OpenJob, index: int, now_s: float) -> None:
        """Queues a task for its next placement, or delays it at the barrier.

        Args:
            job: The job.
            index: Index of the task.
            now_s: Monotonic clock.
        """
        if job.taken_over and not self.barrier.passed:
            self.barrier.delay(job, index)
            return
        job.tasks[index].phase = TaskPhase.WAITING
        task = make_queued_task(self._context, job, index, now_s)
        self._context.scheduler.enqueue(task)

    def flush(self, now_s: float) -> None:
        """Places queued tasks and adds their records to the proposals.

        Args:
            now_s: Monotonic clock.
        """
        placed = self._context.scheduler.place(now_s)
        placements: dict[bool, list[Placement]] = {True: [], False: []}
        initial: dict[JobId, list[Placement]] = {
            job: [] for job in self._new_jobs
        }
        for placed_task in placed:
            job = self._jobs[placed_task.task.job]
            placed_before = bool(job.tasks[placed_task.task.index].agent)
            placement = self._apply_placement(job, placed_task, now_s)
            if job.job in initial:
                initial[job.job].append(placement)
            elif job.admitted and not placed_before:
                self._defer(placement, now_s)
            else:
                placements[job.synced].append(placement)
        for job in self._new_jobs.values():
            self._propose_admission(job, tuple(initial[job.job]))
        self._new_jobs = {}
        for synced, batch in placements.items():
            if batch:
                self._propose_placements(tuple(batch), synced=synced)
        self._flush_deferred(now_s)

    def send_assignments(self) -> None:
        """Sends the committed assignments, one message per agent."""
        for name, tasks in self._assignments.items():
            view = self._registry.views[name]
            self._context.send(
                name,
                Assign(
                    self._context.term,
                    view.epoch,
                    view.incarnation,
                    view.heartbeat_sent_s,
                    tuple(tasks),
                ),
            )
            self._registry.flush_acks(view)
        self._assignments = {}

    def _defer(self, placement: Placement, now_s: float) -> None:
        # The assignment does not wait for the record of the placement: if
        # this leader fails before, the next leader finds the task in the
        # report of the agent.
        if not self._deferred:
            self._deferred_due_s = now_s + DEFERRED_RECORD_DELAY_S
        self._deferred.append(placement)
        self._assign_if_valid(placement, now_s)

    def _flush_deferred(self, now_s: float) -> None:
        due = now_s >= self._deferred_due_s
        if self._deferred and (due or self._context.has_proposals):
            record = TasksPlaced(tuple(self._deferred))
            self._deferred = []
            # Placements must precede the ends of their jobs in the log.
            self._context.admissions.insert(0, Proposal(record))

    def _propose_admission(
        self,
        job: OpenJob,
        placements: tuple[Placement, ...],
    ) -> None:
        record = JobAdmitted(
            job.request,
            job.document_version,
            job.kind.repeatable,
            placements,
        )

        def on_admitted(now_s: float) -> None:
            job.admitted = True
            self._context.effects.append(Record(EventKind.ADMITTED, job.job))
            for waiter in job.admission_waiters.values():
                self._finalizer.send_acceptance(waiter, job)
            job.admission_waiters = {}
            for placement in placements:
                self._assign_if_valid(placement, now_s)

        self._context.admissions.append(
            Proposal(record, on_admitted, job.synced),
        )

    def _propose_placements(
        self,
        placements: tuple[Placement, ...],
        *,
        synced: bool,
    ) -> None:
        def on_placed(now_s: float) -> None:
            for placement in placements:
                self._assign_if_valid(placement, now_s)

        self._context.propose(
            Proposal(TasksPlaced(placements), on_placed, synced),
        )

    def _apply_placement(
        self,
        job: OpenJob,
        placed_task: PlacedTask,
        now_s: float,
    ) -> Placement:
        task = job.tasks[placed_task.task.index]
        task.phase = TaskPhase.PLACED
        task.start += 1
        task.agent = placed_task.upstream
        task.incarnation = self._registry.views[
            placed_task.upstream
        ].incarnation
        self._context.effects.append(
            Measure('queue_wait_s', now_s - placed_task.task.queued_s),
        )
        return Placement(
            job.job,
            placed_task.task.index,
            task.start,
            task.agent,
            task.incarnation,
        )

    def _assign_if_valid(self, placement: Placement, now_s: float) -> None:
        job = self._jobs.get(placement.job)
        if job is None:
            return
        task = job.tasks[placement.index]
        if task.phase is not TaskPhase.PLACED:
            return
        view = self._registry.find_current(
            placement.agent, placement.incarnation
        )
        finished = job.cancelled or job.answer is not None
        if finished or view is None or not view.accepts_tasks:
            task_id = job.job.task_id(placement.index)
            scheduler = self._context.scheduler
            scheduler.task_returned(placement.agent, task_id)
            task.phase = TaskPhase.ENDED
            if not finished:
                self.enqueue(job, placement.index, now_s)
            return
        self._assign(job, placement, view)

    def _assign(
        self,
        job: OpenJob,
        placement: Placement,
        view: AgentView,
    ) -> None:
        task = job.tasks[placement.index]
        task.phase = TaskPhase.ASSIGNED
        task.may_have_run = True
        ref = TaskRef(job.job, placement.index, placement.start)
        view.tasks[ref.task_id] = ref
        document = self._context.state.documents[job.job.service]
        self._assignments.setdefault(view.name, []).append(
            Assignment(
                job.job,
                placement.index,
                placement.start,
                job.kind.name,
                document.version,
                job.kind.timeout_s,
                job.request.tasks[placement.index].input_json,
            ),
        )
        self._context.effects.append(
            Record(
                EventKind.ASSIGNED,
                job.job,
                placement.index,
                view.name,
            ),
        )
