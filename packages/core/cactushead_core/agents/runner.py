"""Life cycle of an agent's tasks: assignment, run, outcome, cancellation."""

from ..config import AgentConfig
from ..documents.applied_versions import AppliedVersions
from ..effects import Effect, EventKind, Record, StartRun, StopRun
from .lease import Lease
from .messages import Assign, CancelTasks, StopStale
from .model import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    TaskRef,
    TaskReport,
    TaskStage,
    UpstreamSpec,
)
from .records import TaskRecords, refusal

# How long closed placements are kept, as a multiple of the lease.
RETENTION_LEASES = 3


class TaskRunner:
    """Starts and stops tasks on the upstream and collects their outcomes.

    Explanation:
        A task starts if the lease is active, the leader decided the
        assignment under that lease, and no record of the placement exists.
        Any other assignment is answered with the recorded outcome or with a
        refusal, which guarantees that the task never started.

    Attributes:
        upstream: The upstream, None while its health check fails.
        draining: Whether the agent is draining and accepts no new tasks.
    """

    def __init__(
        self,
        config: AgentConfig,
        lease: Lease,
        applied_versions: AppliedVersions,
    ) -> None:
        """Starts without tasks.

        Args:
            config: Configuration of the agent.
            lease: The agent's lease.
            applied_versions: Document versions that the agent has applied.
        """
        self.upstream: UpstreamSpec | None = None
        self.draining = False
        self._config = config
        self._lease = lease
        self._applied_versions = applied_versions
        self._records = TaskRecords(config.timing.lease_s * RETENTION_LEASES)
        self._outcomes: list[TaskOutcome] = []
        self._stale: dict[str, TaskRef] = {}

    @property
    def idle(self) -> bool:
        """Whether no task is running at the upstream."""
        return self._records.running == 0

    @property
    def all_acknowledged(self) -> bool:
        """Whether the leader has acknowledged every outcome."""
        return self._records.unacknowledged_count == 0 and not self._outcomes

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns reports of all open records, to be sent to the leader."""
        return self._records.reports()

    def drain_outcomes(self) -> tuple[TaskOutcome, ...]:
        """Returns and clears the outcomes that are to be sent."""
        outcomes = tuple(self._outcomes)
        self._outcomes = []
        return outcomes

    def tick(self, now_s: float) -> None:
        """Expires closed placements and resends unacknowledged outcomes.

        Explanation:
            Queued tasks are refused when the lease has expired.

        Args:
            now_s: Monotonic clock.
        """
        self._records.expire(now_s)
        resend_s = self._config.timing.resend_s
        self._outcomes.extend(self._records.due_outcomes(now_s, resend_s))
        if not self._lease.is_active(now_s):
            self.refuse_queued('lease expired', now_s)

    def assign(
        self,
        message: Assign,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Processes assignments of the adopted term and epoch.

        Args:
            message: The assignments.
            now_s: Monotonic clock.
            effects: List to which effects are appended.
        """
        is_covered = self._lease.covers(message.echo_s, now_s)
        for assignment in message.tasks:
            self._handle_assignment(assignment, is_covered, now_s)
        self.start_queued(now_s, effects)

    def start_queued(self, now_s: float, effects: list[Effect]) -> None:
        """Starts queued tasks in free slots while the lease is active.

        Args:
            now_s: Monotonic clock.
            effects: List to which effects are appended.
        """
        if self.upstream is None or not self._lease.is_active(now_s):
            return
        free = self.upstream.slots - self._records.running
        for assignment in self._records.queued()[: max(free, 0)]:
            self._records.start(assignment.task_id)
            effects.append(
                Record(
                    EventKind.STARTED,
                    assignment.job,
                    assignment.index,
                    self._config.name,
                ),
            )
            effects.append(StartRun(assignment, self._lease.until_s))

    def refuse_queued(self, cause: str, now_s: float) -> None:
        """Refuses all queued tasks.

        Args:
            cause: Reason of the refusal.
            now_s: Monotonic clock.
        """
        for assignment in self._records.queued():
            self._refuse(assignment, cause, now_s)

    def run_ended(
        self,
        outcome: TaskOutcome,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Records the outcome of a run and starts the next queued tasks.

        Args:
            outcome: The outcome.
            now_s: Monotonic clock.
            effects: List to which effects are appended.
        """
        if self._records.end(outcome, now_s):
            self._outcomes.append(outcome)
            effects.append(
                Record(
                    EventKind.TASK_ENDED,
                    outcome.job,
                    outcome.index,
                    self._config.name,
                    outcome.status,
                ),
            )
        self.start_queued(now_s, effects)

    def acknowledge(self, task_ids: tuple[str, ...], now_s: float) -> None:
        """Removes the records of tasks whose outcomes are acknowledged.

        Args:
            task_ids: Ids of the tasks.
            now_s: Monotonic clock.
        """
        for task_id in task_ids:
            self._records.acknowledge(task_id, now_s)

    def cancel(
        self,
        message: CancelTasks,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Cancels tasks: refuses queued ones and stops running ones.

        Args:
            message: The tasks.
            now_s: Monotonic clock.
            effects: List to which effects are appended.
        """
        for task in message.tasks:
            self._cancel(task, now_s, effects)

    def stop_stale(self, message: StopStale, effects: list[Effect]) -> None:
        """Stops tasks of an earlier incarnation at the upstream.

        Args:
            message: The stale tasks.
            effects: List to which effects are appended.
        """
        for task in message.tasks:
            self._stale[task.task_id] = task
            effects.append(StopRun(task.task_id))

    def stop_ended(self, task_id: str, *, stopped: bool) -> None:
        """Queues the outcome of a stale task that was stopped.

        Args:
            task_id: Id of the task.
            stopped: Whether the upstream confirmed the stop.
        """
        task = self._stale.get(task_id)
        if task is None or not stopped:
            return
        del self._stale[task_id]
        self._outcomes.append(
            TaskOutcome(
                task.job,
                task.index,
                task.start,
                OutcomeStatus.CANCELLED,
                error='agent was restarted',
            ),
        )

    def _handle_assignment(
        self,
        assignment: Assignment,
        is_covered: bool,
        now_s: float,
    ) -> None:
        record = self._records.find(assignment.task_id)
        if record is not None and record.assignment.start >= assignment.start:
            self._repeat_outcome(assignment)
            return
        if self._records.was_closed(assignment.task_id, assignment.start):
            return
        cause = self._find_refusal_cause(assignment, is_covered)
        if cause:
            self._outcomes.append(refusal(assignment, cause))
            self._records.close(assignment.task_id, assignment.start, now_s)
            return
        self._records.add(assignment)

    def _repeat_outcome(self, assignment: Assignment) -> None:
        record = self._records.find(assignment.task_id)
        if record is not None and record.outcome is not None:
            self._outcomes.append(record.outcome)

    def _find_refusal_cause(
        self, assignment: Assignment, is_covered: bool
    ) -> str:
        if not is_covered:
            return 'lease expired'
        if self.draining:
            return 'agent is leaving'
        if self.upstream is None:
            return 'upstream is not healthy'
        if len(self._records) >= self._config.bounds.agent_records:
            return 'record table is full'
        applied = self._applied_versions.version(assignment.job.service)
        if assignment.document_version < applied:
            return f'document version {assignment.document_version} is old'
        return ''

    def _refuse(
        self,
        assignment: Assignment,
        cause: str,
        now_s: float,
    ) -> None:
        outcome = refusal(assignment, cause)
        self._records.end(outcome, now_s)
        self._outcomes.append(outcome)

    def _cancel(
        self,
        task: TaskRef,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        record = self._records.find(task.task_id)
        if record is None or record.assignment.start < task.start:
            self._records.close(task.task_id, task.start, now_s)
            self._outcomes.append(refusal(task, 'recalled'))
        elif record.stage is TaskStage.QUEUED:
            self._refuse(record.assignment, 'recalled', now_s)
        elif record.stage is TaskStage.RUNNING:
            effects.append(StopRun(task.task_id))
        elif record.outcome is not None:
            self._outcomes.append(record.outcome)
