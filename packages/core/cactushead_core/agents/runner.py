"""The agent's tasks: assignments, runs, outcomes and cancellation."""

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

KEEP_LEASES = 3


class TaskRunner:
    """Starts and stops tasks on the upstream and collects their outcomes.

    Explanation:
        A task starts when the lease holds, the assignment was decided under
        that lease, and no record of the placement exists. Everything else is
        answered by what is recorded or by a refusal, which proves that the
        task never started.

    Attributes:
        upstream: The upstream; None while its health check fails.
        leaving: Whether the agent takes no new work.
    """

    def __init__(
        self,
        config: AgentConfig,
        lease: Lease,
        held: AppliedVersions,
    ) -> None:
        """Starts without tasks.

        Args:
            config: Configuration of the agent.
            lease: The agent's lease.
            held: Document versions that the agent holds.
        """
        self.upstream: UpstreamSpec | None = None
        self.leaving = False
        self._config = config
        self._lease = lease
        self._held = held
        self._records = TaskRecords(config.timing.lease_s * KEEP_LEASES)
        self._outcomes: list[TaskOutcome] = []
        self._stale: dict[str, TaskRef] = {}

    @property
    def idle(self) -> bool:
        """Whether the upstream runs nothing."""
        return self._records.running == 0

    @property
    def settled(self) -> bool:
        """Whether the leader has acknowledged every outcome."""
        return self._records.unacknowledged == 0 and not self._outcomes

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns all open records for a leader."""
        return self._records.reports()

    def take_outcomes(self) -> tuple[TaskOutcome, ...]:
        """Returns and clears the outcomes to send."""
        outcomes = tuple(self._outcomes)
        self._outcomes = []
        return outcomes

    def tick(self, now_s: float) -> None:
        """Forgets old placements and repeats unacknowledged outcomes.

        Args:
            now_s: Monotonic clock.
        """
        self._records.expire(now_s)
        resend_s = self._config.timing.resend_s
        self._outcomes.extend(self._records.due_outcomes(now_s, resend_s))
        if not self._lease.holds(now_s):
            self.refuse_queued('lease expired', now_s)

    def assign(
        self,
        message: Assign,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Takes assignments of the adopted term and epoch.

        Args:
            message: The assignments.
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        recent = self._lease.covers(message.echo_s, now_s)
        for assignment in message.tasks:
            self._take(assignment, recent, now_s)
        self.start_queued(now_s, effects)

    def start_queued(self, now_s: float, effects: list[Effect]) -> None:
        """Starts waiting tasks in free slots while the lease holds.

        Args:
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        if self.upstream is None or not self._lease.holds(now_s):
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
        """Refuses the tasks that wait to be started.

        Args:
            cause: Why they are refused.
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
        """Notes how a run ended and starts the next task.

        Args:
            outcome: The outcome.
            now_s: Monotonic clock.
            effects: Receives the effects.
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
        """Drops outcomes that the leader has for good.

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
        """Recalls or stops tasks.

        Args:
            message: The tasks.
            now_s: Monotonic clock.
            effects: Receives the effects.
        """
        for task in message.tasks:
            self._cancel(task, now_s, effects)

    def stop_stale(self, message: StopStale, effects: list[Effect]) -> None:
        """Stops tasks of an earlier incarnation at the upstream.

        Args:
            message: The tasks.
            effects: Receives the effects.
        """
        for task in message.tasks:
            self._stale[task.task_id] = task
            effects.append(StopRun(task.task_id))

    def stop_ended(self, task_id: str, *, stopped: bool) -> None:
        """Tells the leader that a stale task runs no more.

        Args:
            task_id: Id of the task.
            stopped: Whether the upstream confirmed it.
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

    def _take(
        self,
        assignment: Assignment,
        recent: bool,
        now_s: float,
    ) -> None:
        record = self._records.find(assignment.task_id)
        if record is not None and record.assignment.start >= assignment.start:
            self._repeat_outcome(assignment)
            return
        if self._records.was_closed(assignment.task_id, assignment.start):
            return
        cause = self._find_refusal(assignment, recent)
        if cause:
            self._outcomes.append(refusal(assignment, cause))
            self._records.close(assignment.task_id, assignment.start, now_s)
            return
        self._records.add(assignment)

    def _repeat_outcome(self, assignment: Assignment) -> None:
        record = self._records.find(assignment.task_id)
        if record is not None and record.outcome is not None:
            self._outcomes.append(record.outcome)

    def _find_refusal(self, assignment: Assignment, recent: bool) -> str:
        if not recent:
            return 'lease expired'
        if self.leaving:
            return 'agent is leaving'
        if self.upstream is None:
            return 'upstream is not healthy'
        if len(self._records) >= self._config.bounds.agent_records:
            return 'record table is full'
        held = self._held.version(assignment.job.service)
        if assignment.document_version < held:
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
