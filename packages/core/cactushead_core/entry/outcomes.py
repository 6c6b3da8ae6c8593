"""Task outcomes and start reports of agents at the leader."""

from dataclasses import dataclass, replace

from ..agents.messages import StartReport
from ..agents.model import (
    OutcomeStatus,
    TaskOutcome,
    TaskRef,
    TaskReport,
    TaskStage,
)
from ..effects import EventKind, Measure, Record
from ..jobs.model import JobId
from .admission import make_queued_task
from .agents import AgentRegistry, AgentView
from .context import LeaderContext
from .finalizer import JobFinalizer
from .job import OpenJob, OpenTask, TaskPhase
from .placing import TaskPlacer

_ADOPTABLE = (TaskPhase.WAITING, TaskPhase.ASSIGNED)


@dataclass(frozen=True, slots=True)
class Orphan:
    """A task that an agent has started and whose job is not in the log.

    Attributes:
        view: The agent that has started it.
        report: The agent's report of the task.
    """

    view: AgentView
    report: TaskReport


class OutcomeHandler:
    """Applies task outcomes and start reports of agents to the open jobs."""

    def __init__(
        self,
        context: LeaderContext,
        registry: AgentRegistry,
        jobs: dict[JobId, OpenJob],
        finalizer: JobFinalizer,
        placer: TaskPlacer,
    ) -> None:
        """Starts without orphans.

        Args:
            context: The leader's context.
            registry: The agents of this term.
            jobs: Jobs without a committed answer, shared with the manager.
            finalizer: Ends jobs.
            placer: Queues tasks that are to start again.
        """
        self._context = context
        self._registry = registry
        self._jobs = jobs
        self._finalizer = finalizer
        self._placer = placer
        self._orphans: dict[str, Orphan] = {}

    def on_outcome(
        self,
        view: AgentView,
        outcome: TaskOutcome,
        now_s: float,
    ) -> None:
        """Applies an outcome that an agent of a current incarnation sent.

        Explanation:
            An outcome of a task that is not assigned to the agent at that
            start number is a duplicate; it changes no job.

        Args:
            view: The agent.
            outcome: The outcome.
            now_s: Monotonic clock.
        """
        task_id = outcome.task_id
        if task_id in view.stale:
            self._remove_stale_task(view, outcome)
            return
        assigned = view.tasks.get(task_id)
        if assigned is None or assigned.start != outcome.start:
            self._acknowledge_duplicate(view, outcome)
            return
        self._registry.remove_task(view, task_id)
        self._free_slot(view, outcome, now_s)
        job = self._jobs.get(outcome.job)
        if job is None:
            self._registry.acknowledge(view.name, task_id)
            return
        self._apply_outcome(job, view, outcome, now_s)

    def on_start_report(
        self,
        view: AgentView,
        message: StartReport,
        now_s: float,
    ) -> None:
        """Reconciles the tasks an agent started with its assigned tasks.

        Explanation:
            An assigned task that is missing in the report was never received
            and is queued again. A reported task that was not assigned in
            this term is adopted by its job, kept as an orphan or cancelled.
            After the last report, the tasks of the barrier are queued.

        Args:
            view: The agent.
            message: Its report of the current epoch.
            now_s: Monotonic clock.
        """
        reported = {report.task_id: report for report in message.tasks}
        for task_id, ref in list(view.tasks.items()):
            report = reported.get(task_id)
            if report is None or report.start < ref.start:
                self._refuse_unreceived(view, ref, now_s)
        for report in message.tasks:
            if report.task_id not in view.tasks:
                self._reconcile_unknown(view, report)
            if report.outcome is not None:
                self.on_outcome(view, report.outcome, now_s)
        for delayed in self._placer.barrier.on_report(view.name):
            self._placer.enqueue(delayed.job, delayed.index, now_s)

    def on_agent_lost(self, view: AgentView, now_s: float) -> None:
        """Fails the jobs of tasks that a lost agent may have started.

        Args:
            view: The agent's incarnation that is replaced or deregistered.
            now_s: Monotonic clock.
        """
        self._fail_delayed_tasks(view, now_s)
        for ref in list(view.tasks.values()):
            job = self._jobs.get(ref.job)
            if job is None:
                continue
            task = job.tasks[ref.index]
            if task.phase is TaskPhase.ASSIGNED and task.agent == view.name:
                task.phase = TaskPhase.ENDED
                error = f'task {ref.index} may have run on lost {view.name}'
                self._finalizer.fail(job, error)
                self._finalizer.finish_if_done(job, now_s)

    def _fail_delayed_tasks(self, view: AgentView, now_s: float) -> None:
        replacement = self._registry.views[view.name]
        for delayed in self._placer.barrier.on_agent_lost(view.name):
            job = delayed.job
            start = job.tasks[delayed.index].start + 1
            ref = TaskRef(job.job, delayed.index, start)
            if replacement is not view:
                replacement.stale[ref.task_id] = ref
                queued = make_queued_task(
                    self._context, job, delayed.index, now_s
                )
                self._context.scheduler.add_running(queued, view.name)
            error = f'task {delayed.index} may have run on lost {view.name}'
            self._finalizer.fail(job, error)

    def adopt_orphan(self, job: OpenJob, index: int) -> bool:
        """Assigns a task of a new job to the agent that has started it.

        Explanation:
            The admission of a repeatable job can be lost with the voters
            that had it in memory only. When the job is resubmitted, tasks
            that its agents have started must not start again.

        Args:
            job: The job.
            index: Index of the task.

        Returns:
            Whether an agent has started the task.
        """
        orphan = self._orphans.pop(job.job.task_id(index), None)
        if orphan is None:
            return False
        self._assign_reported(job, orphan.view, orphan.report)
        # The agent includes the outcome in the new report.
        self._registry.on_connected(orphan.view.name)
        return True

    def _apply_outcome(
        self,
        job: OpenJob,
        view: AgentView,
        outcome: TaskOutcome,
        now_s: float,
    ) -> None:
        task = job.tasks[outcome.index]
        task.phase = TaskPhase.ENDED
        status = outcome.status
        finished = job.cancelled or job.answer is not None
        if status is OutcomeStatus.SUCCEEDED:
            task.result_json = outcome.result_json
            job.ended_tasks += 1
        elif status is OutcomeStatus.REFUSED:
            task.may_have_run = task.failures > 0
            self._registry.acknowledge(view.name, outcome.task_id)
            if not finished:
                self._placer.enqueue(job, outcome.index, now_s)
        elif not finished:
            self._handle_failure(job, view, outcome, now_s)
        if job.answered:
            self._registry.acknowledge(view.name, outcome.task_id)
        self._finalizer.finish_if_done(job, now_s)

    def _handle_failure(
        self,
        job: OpenJob,
        view: AgentView,
        outcome: TaskOutcome,
        now_s: float,
    ) -> None:
        task = job.tasks[outcome.index]
        task.failures += 1
        failed = outcome.status is OutcomeStatus.FAILED
        if failed and self._may_restart(job, outcome, now_s):
            # The outcome is acknowledged only when the agent resends it after
            # a newer placement. Until then, it is the only evidence for a new
            # leader that the task was started.
            self._placer.enqueue(job, outcome.index, now_s)
            return
        error = f'task {outcome.index} {outcome.status}: {outcome.error}'
        self._finalizer.fail(job, error)

    def _may_restart(
        self,
        job: OpenJob,
        outcome: TaskOutcome,
        now_s: float,
    ) -> bool:
        failures = job.tasks[outcome.index].failures
        if not job.kind.repeatable or failures >= job.kind.max_starts:
            return False
        waiting = make_queued_task(self._context, job, outcome.index, now_s)
        started = replace(waiting, start=failures)
        failed = replace(outcome, start=failures)
        return self._context.scheduler.may_restart(started, failed, now_s)

    def _free_slot(
        self,
        view: AgentView,
        outcome: TaskOutcome,
        now_s: float,
    ) -> None:
        scheduler = self._context.scheduler
        if outcome.status is OutcomeStatus.REFUSED:
            scheduler.task_returned(view.name, outcome.task_id)
            return
        scheduler.task_ended(view.name, outcome, now_s)
        self._context.effects.append(Measure('run_s', outcome.run_s))
        self._context.effects.append(
            Record(
                EventKind.OUTCOME_RECEIVED,
                outcome.job,
                outcome.index,
                view.name,
                outcome.status,
            ),
        )

    def _refuse_unreceived(
        self,
        view: AgentView,
        ref: TaskRef,
        now_s: float,
    ) -> None:
        missing = TaskOutcome(
            ref.job,
            ref.index,
            ref.start,
            OutcomeStatus.REFUSED,
            error='never received',
        )
        self.on_outcome(view, missing, now_s)

    def _acknowledge_duplicate(
        self,
        view: AgentView,
        outcome: TaskOutcome,
    ) -> None:
        job = self._jobs.get(outcome.job)
        if job is None:
            finished = outcome.job in self._context.state.jobs
        else:
            newer = job.tasks[outcome.index].start > outcome.start
            finished = newer or job.answered
        if finished:
            self._registry.acknowledge(view.name, outcome.task_id)

    def _remove_stale_task(self, view: AgentView, outcome: TaskOutcome) -> None:
        del view.stale[outcome.task_id]
        self._context.scheduler.task_returned(view.name, outcome.task_id)

    def _reconcile_unknown(self, view: AgentView, report: TaskReport) -> None:
        job = self._jobs.get(report.job)
        ref = TaskRef(report.job, report.index, report.start)
        if job is None and report.job not in self._context.state.jobs:
            self._orphans[report.task_id] = Orphan(view, report)
            return
        if job is not None:
            task = job.tasks[report.index]
            if task.start < report.start and task.phase in _ADOPTABLE:
                self._drop_older_placement(task, report)
                self._restore_start(job, view, report)
                return
        if report.stage is not TaskStage.ENDED:
            view.tasks[ref.task_id] = ref
            self._registry.cancel_task(ref, view.name)

    def _drop_older_placement(self, task: OpenTask, report: TaskReport) -> None:
        # The earlier leader placed the task again, so the agent of the older
        # placement did not run it.
        if task.phase is TaskPhase.ASSIGNED:
            older = self._registry.views[task.agent]
            self._registry.remove_task(older, report.task_id)
            scheduler = self._context.scheduler
            scheduler.task_returned(older.name, report.task_id)

    def _restore_start(
        self,
        job: OpenJob,
        view: AgentView,
        report: TaskReport,
    ) -> None:
        scheduler = self._context.scheduler
        for waiting in scheduler.cancel_job(job.job):
            if waiting.index != report.index:
                scheduler.enqueue(waiting)
        self._assign_reported(job, view, report)

    def _assign_reported(
        self,
        job: OpenJob,
        view: AgentView,
        report: TaskReport,
    ) -> None:
        task = job.tasks[report.index]
        task.phase = TaskPhase.ASSIGNED
        task.may_have_run = True
        task.start = report.start
        task.agent = view.name
        task.incarnation = view.incarnation
        ref = TaskRef(report.job, report.index, report.start)
        view.tasks[ref.task_id] = ref
        self._context.scheduler.add_running(
            make_queued_task(self._context, job, report.index, 0),
            view.name,
        )
