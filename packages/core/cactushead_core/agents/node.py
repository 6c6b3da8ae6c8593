"""The agent's reducer."""

from ..config import AgentConfig
from ..documents.messages import (
    DocumentNotice,
    DocumentsHeld,
    DocumentVersion,
)
from ..effects import (
    Drained,
    Effect,
    EventKind,
    Record,
    Send,
    StartRun,
    StopRun,
)
from ..events import (
    DrainRequested,
    Event,
    MessageReceived,
    PeerConnected,
    PeerLost,
    RunEnded,
    StopEnded,
    Tick,
    TurnEnded,
    UpstreamChecked,
)
from ..reducer import Node
from .lease import Lease
from .messages import (
    Acknowledge,
    Assign,
    CancelTasks,
    Heartbeat,
    LeaderHint,
    LeaseGranted,
    Outcomes,
    ReportWanted,
    StartReport,
    StopStale,
)
from .model import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    TaskRef,
    TaskStage,
    UpstreamSpec,
)
from .records import TaskRecords, refusal

KEEP_LEASES = 3
DRAIN_ACK_S = 30.0


class AgentNode(Node):
    """The only process that starts tasks on its upstream.

    Explanation:
        A task starts when the lease holds, the assignment was decided under
        that lease in the adopted term and epoch, and no record of the
        placement exists. Everything else is answered by what is recorded or
        by a refusal, which proves that the task never started.
    """

    def __init__(self, config: AgentConfig, now_s: float) -> None:
        """Starts without lease, leader and tasks.

        Args:
            config: Configuration.
            now_s: Monotonic clock.
        """
        timing = config.timing
        self.config = config
        self.lease = Lease(timing.lease_s)
        self.records = TaskRecords(timing.lease_s * KEEP_LEASES)
        self.term = 0
        self.epoch = 0
        self.leader = ''
        self.upstream: UpstreamSpec | None = None
        self.leaving = False
        self.versions: dict[str, int] = {}
        self._hint_term = 0
        self._voters: set[str] = set()
        self._heartbeat_due_s = now_s
        self._outcomes: list[TaskOutcome] = []
        self._stale: dict[str, TaskRef] = {}
        self._drain_end_s: float | None = None
        self._drained = False
        self._handlers = {
            Tick: self._on_tick,
            TurnEnded: self._on_turn_ended,
            PeerConnected: self._on_peer_connected,
            PeerLost: self._on_peer_lost,
            UpstreamChecked: self._on_upstream_checked,
            RunEnded: self._on_run_ended,
            StopEnded: self._on_stop_ended,
            DrainRequested: self._on_drain_requested,
            MessageReceived: self._on_message,
        }
        self._message_handlers = {
            LeaderHint: self._on_leader_hint,
            ReportWanted: self._on_report_wanted,
            LeaseGranted: self._on_lease_granted,
            Assign: self._on_assign,
            Acknowledge: self._on_acknowledge,
            CancelTasks: self._on_cancel_tasks,
            StopStale: self._on_stop_stale,
            DocumentNotice: self._on_document_notice,
        }

    def _reduce(self, event: Event, effects: list[Effect]) -> None:
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event, effects)

    def _on_message(
        self,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        handler = self._message_handlers.get(type(event.message))
        if handler is not None:
            handler(event.message, event, effects)

    # Timers and links.

    def _on_tick(self, event: Tick, effects: list[Effect]) -> None:
        now_s = event.now_s
        self.records.expire(now_s)
        if now_s >= self._heartbeat_due_s:
            self._send_heartbeat(now_s, effects)
        due = self.records.due_outcomes(now_s, self.config.timing.resend_s)
        self._outcomes.extend(due)
        self._refuse_queued(now_s)
        self._check_drained(now_s, effects)

    def _on_turn_ended(self, event: TurnEnded, effects: list[Effect]) -> None:
        if self._outcomes and self.leader:
            message = Outcomes(
                self.config.name,
                self.config.incarnation,
                tuple(self._outcomes),
            )
            effects.append(Send(self.leader, message))
        self._outcomes = []

    def _on_peer_connected(
        self,
        event: PeerConnected,
        effects: list[Effect],
    ) -> None:
        self._voters.add(event.peer.name)
        self._send_heartbeat(event.now_s, effects)

    def _on_peer_lost(self, event: PeerLost, effects: list[Effect]) -> None:
        self._voters.discard(event.peer.name)
        if event.peer.name == self.leader:
            self.leader = ''

    def _on_upstream_checked(
        self,
        event: UpstreamChecked,
        effects: list[Effect],
    ) -> None:
        if event.upstream == self.upstream:
            return
        self.upstream = event.upstream
        self._send_heartbeat(event.now_s, effects)
        kind = EventKind.UPSTREAM_ANNOUNCED
        if event.upstream is None:
            kind = EventKind.UPSTREAM_GONE
        effects.append(Record(kind, subject=self.config.name, logged=True))

    def _on_drain_requested(
        self,
        event: DrainRequested,
        effects: list[Effect],
    ) -> None:
        if self.leaving:
            return
        self.leaving = True
        self._drain_end_s = event.now_s + DRAIN_ACK_S
        effects.append(
            Record(EventKind.DRAIN, subject=self.config.name, logged=True),
        )
        for assignment in self.records.queued():
            self._refuse(assignment, 'agent is leaving', event.now_s)
        self._send_heartbeat(event.now_s, effects)
        self._check_drained(event.now_s, effects)

    def _send_heartbeat(self, now_s: float, effects: list[Effect]) -> None:
        self._heartbeat_due_s = now_s + self.config.timing.heartbeat_s
        heartbeat = Heartbeat(
            self.config.name,
            self.config.incarnation,
            self.term,
            now_s,
            self.upstream,
            self.leaving,
        )
        targets = [self.leader] if self.leader else sorted(self._voters)
        effects.extend([Send(target, heartbeat) for target in targets])

    def _check_drained(self, now_s: float, effects: list[Effect]) -> None:
        if self._drain_end_s is None or self._drained:
            return
        idle = self.records.running == 0
        settled = self.records.unacknowledged == 0 and not self._outcomes
        if idle and (settled or now_s >= self._drain_end_s):
            self._drained = True
            effects.append(
                Record(
                    EventKind.DRAINED,
                    subject=self.config.name,
                    logged=True,
                ),
            )
            effects.append(Drained())

    # Leader, term and lease.

    def _on_leader_hint(
        self,
        message: LeaderHint,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if message.term < self._hint_term:
            return
        self._hint_term = message.term
        known = message.leader in self._voters
        if known and message.leader != self.leader:
            self.leader = message.leader
            self._send_heartbeat(event.now_s, effects)
        elif not known and event.sender.name == self.leader:
            self.leader = ''

    def _on_report_wanted(
        self,
        message: ReportWanted,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if message.incarnation != self.config.incarnation:
            return
        asked = (message.term, message.epoch)
        held = (self.term, self.epoch)
        if asked < held:
            return
        if message.term > self.term:
            self.lease.revoke()
        self.term = message.term
        self.epoch = message.epoch
        self._hint_term = max(self._hint_term, message.term)
        self.leader = event.sender.name
        report = StartReport(
            self.config.name,
            self.config.incarnation,
            self.term,
            self.epoch,
            self.records.reports(),
        )
        effects.append(Send(self.leader, report))
        self._send_heartbeat(event.now_s, effects)

    def _on_lease_granted(
        self,
        message: LeaseGranted,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        mine = message.incarnation == self.config.incarnation
        if not mine or message.term != self.term:
            return
        if not self.lease.holds(event.now_s):
            effects.append(
                Record(
                    EventKind.LEASE,
                    subject=self.config.name,
                    detail=f'term {self.term}',
                ),
            )
        self.lease.extend(message.echo_s, message.lease_s)

    # Assignments and outcomes.

    def _on_assign(
        self,
        message: Assign,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if message.incarnation != self.config.incarnation:
            return
        if (message.term, message.epoch) != (self.term, self.epoch):
            return
        recent = self.lease.covers(message.echo_s, event.now_s)
        for assignment in message.tasks:
            self._take(assignment, recent, event.now_s)
        self._start_queued(event.now_s, effects)

    def _take(
        self,
        assignment: Assignment,
        recent: bool,
        now_s: float,
    ) -> None:
        record = self.records.find(assignment.task_id)
        if record is not None and record.assignment.start >= assignment.start:
            self._repeat_outcome(assignment)
            return
        if self.records.was_closed(assignment.task_id, assignment.start):
            return
        cause = self._find_refusal(assignment, recent)
        if cause:
            self._outcomes.append(refusal(assignment, cause))
            self.records.close(assignment.task_id, assignment.start, now_s)
            return
        self.records.add(assignment)

    def _repeat_outcome(self, assignment: Assignment) -> None:
        record = self.records.find(assignment.task_id)
        if record is not None and record.outcome is not None:
            self._outcomes.append(record.outcome)

    def _find_refusal(self, assignment: Assignment, recent: bool) -> str:
        if not recent:
            return 'lease expired'
        if self.leaving:
            return 'agent is leaving'
        if self.upstream is None:
            return 'upstream is not healthy'
        if len(self.records) >= self.config.bounds.agent_records:
            return 'record table is full'
        held = self.versions.get(assignment.job.service, 0)
        if assignment.document_version < held:
            return f'document version {assignment.document_version} is old'
        return ''

    def _start_queued(self, now_s: float, effects: list[Effect]) -> None:
        if self.upstream is None or not self.lease.holds(now_s):
            return
        free = self.upstream.slots - self.records.running
        for assignment in self.records.queued()[: max(free, 0)]:
            self.records.start(assignment.task_id)
            effects.append(
                Record(
                    EventKind.STARTED,
                    assignment.job,
                    assignment.index,
                    self.config.name,
                ),
            )
            effects.append(StartRun(assignment, self.lease.until_s))

    def _refuse_queued(self, now_s: float) -> None:
        if self.lease.holds(now_s):
            return
        for assignment in self.records.queued():
            self._refuse(assignment, 'lease expired', now_s)

    def _refuse(
        self,
        assignment: Assignment,
        cause: str,
        now_s: float,
    ) -> None:
        outcome = refusal(assignment, cause)
        self.records.end(outcome, now_s)
        self._outcomes.append(outcome)

    def _on_run_ended(self, event: RunEnded, effects: list[Effect]) -> None:
        outcome = event.outcome
        if self.records.end(outcome, event.now_s):
            self._outcomes.append(outcome)
            effects.append(
                Record(
                    EventKind.TASK_ENDED,
                    outcome.job,
                    outcome.index,
                    self.config.name,
                    outcome.status,
                ),
            )
        self._start_queued(event.now_s, effects)

    def _on_acknowledge(
        self,
        message: Acknowledge,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        for task_id in message.task_ids:
            self.records.acknowledge(task_id, event.now_s)
        self._check_drained(event.now_s, effects)

    # Cancellation.

    def _on_cancel_tasks(
        self,
        message: CancelTasks,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if message.incarnation != self.config.incarnation:
            return
        if message.term < self.term:
            return
        for task in message.tasks:
            self._cancel(task, event.now_s, effects)

    def _cancel(
        self,
        task: TaskRef,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        record = self.records.find(task.task_id)
        if record is None or record.assignment.start < task.start:
            self.records.close(task.task_id, task.start, now_s)
            self._outcomes.append(refusal(task, 'recalled'))
        elif record.stage is TaskStage.QUEUED:
            self._refuse(record.assignment, 'recalled', now_s)
        elif record.stage is TaskStage.RUNNING:
            effects.append(StopRun(task.task_id))
        elif record.outcome is not None:
            self._outcomes.append(record.outcome)

    def _on_stop_stale(
        self,
        message: StopStale,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if message.incarnation != self.config.incarnation:
            return
        for task in message.tasks:
            self._stale[task.task_id] = task
            effects.append(StopRun(task.task_id))

    def _on_stop_ended(self, event: StopEnded, effects: list[Effect]) -> None:
        task = self._stale.get(event.task_id)
        if task is None or not event.stopped:
            return
        del self._stale[event.task_id]
        self._outcomes.append(
            TaskOutcome(
                task.job,
                task.index,
                task.start,
                OutcomeStatus.CANCELLED,
                error='agent was restarted',
            ),
        )

    # Documents.

    def _on_document_notice(
        self,
        message: DocumentNotice,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        held: list[DocumentVersion] = []
        for document in message.documents:
            known = self.versions.get(document.service, 0)
            version = max(known, document.version)
            self.versions[document.service] = version
            held.append(DocumentVersion(document.service, version))
        reply = DocumentsHeld(
            self.config.name,
            self.config.incarnation,
            tuple(held),
        )
        effects.append(Send(event.sender.name, reply))
