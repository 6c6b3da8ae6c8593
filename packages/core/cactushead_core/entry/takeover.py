"""Restoration of open jobs from the replicated state in a new term."""

from ..agents.model import TaskRef
from ..jobs.model import JobState
from ..jobs.records import Placement
from .admission import make_queued_task, reopen_job
from .agents import AgentRegistry
from .barrier import TERM_PLACEMENT_STRIDE
from .context import LeaderContext
from .finalizer import JobFinalizer
from .job import OpenJob, OpenTask, TaskPhase
from .placing import TaskPlacer
from .state import JobRecord


class Takeover:
    """Restores the open jobs of a new leader from committed records.

    Explanation:
        A task that was placed on a registered incarnation of an agent counts
        as assigned until the agent reports. A task that was placed on any
        other incarnation may have run there, so its job fails.
    """

    def __init__(
        self,
        context: LeaderContext,
        registry: AgentRegistry,
        finalizer: JobFinalizer,
        placer: TaskPlacer,
    ) -> None:
        """Starts with the components of the new leader.

        Args:
            context: The leader's context.
            registry: The registered agents.
            finalizer: Ends jobs.
            placer: Queues tasks.
        """
        self._context = context
        self._registry = registry
        self._finalizer = finalizer
        self._placer = placer

    def restore(self, record: JobRecord, now_s: float) -> OpenJob | None:
        """Returns the open job of a record, or None if the job has ended.

        Args:
            record: The committed record.
            now_s: Monotonic clock.
        """
        self._track_stale_tasks(record)
        if record.answer is not None:
            self._finalizer.schedule_removal(record.request.job, now_s)
            return None
        return reopen_job(self._context, record, now_s)

    def restore_tasks(
        self,
        job: OpenJob,
        record: JobRecord,
        now_s: float,
    ) -> None:
        """Queues the unplaced tasks of a job and marks the others assigned.

        Args:
            job: The job that `restore` returned.
            record: Its committed record.
            now_s: Monotonic clock.
        """
        lost_agent = ''
        for index, task in enumerate(job.tasks):
            placement = record.placements.get(index)
            if placement is None:
                self._placer.enqueue(job, index, now_s)
            elif not self._restore_placement(job, task, placement):
                lost_agent = placement.agent
        if lost_agent:
            error = f'a task may have run on lost {lost_agent}'
            self._finalizer.fail(job, error)

    def _restore_placement(
        self,
        job: OpenJob,
        task: OpenTask,
        placement: Placement,
    ) -> bool:
        task.start = placement.start
        task.agent = placement.agent
        task.incarnation = placement.incarnation
        task.may_have_run = True
        task.failures = (placement.start - 1) % TERM_PLACEMENT_STRIDE
        view = self._registry.find_current(
            placement.agent, placement.incarnation
        )
        if view is None:
            task.phase = TaskPhase.ENDED
            return False
        task.phase = TaskPhase.ASSIGNED
        ref = TaskRef(job.job, placement.index, placement.start)
        view.tasks[ref.task_id] = ref
        queued = make_queued_task(self._context, job, placement.index, 0)
        self._context.scheduler.add_running(queued, view.name)
        return True

    def _track_stale_tasks(self, record: JobRecord) -> None:
        answer = record.answer
        if answer is not None and answer.state is JobState.COMPLETE:
            return
        for placement in record.placements.values():
            view = self._registry.views.get(placement.agent)
            if view is None or view.incarnation == placement.incarnation:
                continue
            ref = TaskRef(placement.job, placement.index, placement.start)
            view.stale[ref.task_id] = ref
