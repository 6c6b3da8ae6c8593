"""Reducer of the agent process."""

from ..config import AgentConfig
from ..documents.applied_versions import AppliedVersions
from ..documents.messages import (
    DocumentUpdate,
)
from ..effects import (
    Drained,
    Effect,
    EventKind,
    Record,
    Send,
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
    ReportRequested,
    StartReport,
    StopStale,
)
from .runner import TaskRunner

# Maximum time that a drain waits for outcomes to be acknowledged.
DRAIN_ACK_TIMEOUT_S = 30.0


class AgentNode(Node):
    """Agent state machine; only the agent starts tasks on its upstream.

    Explanation:
        Assignments of any other than the adopted term and epoch are
        ignored; `TaskRunner` decides which of the others start.
    """

    def __init__(self, config: AgentConfig, now_s: float) -> None:
        """Starts without a lease, a known leader or tasks.

        Args:
            config: Configuration.
            now_s: Monotonic clock.
        """
        super().__init__()
        timing = config.timing
        self.config = config
        self.lease = Lease(timing.lease_s)
        self.term = 0
        self.epoch = 0
        self.leader = ''
        self.applied_versions = AppliedVersions(config.name, config.incarnation)
        self.tasks = TaskRunner(config, self.lease, self.applied_versions)
        self._hint_term = 0
        self._voters: set[str] = set()
        self._heartbeat_due_s = now_s
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
            ReportRequested: self._on_report_requested,
            LeaseGranted: self._on_lease_granted,
            Assign: self._on_assign,
            Acknowledge: self._on_acknowledge,
            CancelTasks: self._on_cancel_tasks,
            StopStale: self._on_stop_stale,
            DocumentUpdate: self._on_document_update,
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
        if now_s >= self._heartbeat_due_s:
            self._send_heartbeat(now_s, effects)
        self.tasks.tick(now_s)
        self._check_drained(now_s, effects)

    def _on_turn_ended(self, event: TurnEnded, effects: list[Effect]) -> None:
        outcomes = self.tasks.drain_outcomes()
        if outcomes and self.leader:
            name = self.config.name
            message = Outcomes(name, self.config.incarnation, outcomes)
            effects.append(Send(self.leader, message))

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
        if event.upstream == self.tasks.upstream:
            return
        self.tasks.upstream = event.upstream
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
        if self.tasks.draining:
            return
        self.tasks.draining = True
        self._drain_end_s = event.now_s + DRAIN_ACK_TIMEOUT_S
        effects.append(
            Record(
                EventKind.DRAIN_STARTED, subject=self.config.name, logged=True
            ),
        )
        self.tasks.refuse_queued('agent is leaving', event.now_s)
        self._send_heartbeat(event.now_s, effects)
        self._check_drained(event.now_s, effects)

    def _send_heartbeat(self, now_s: float, effects: list[Effect]) -> None:
        self._heartbeat_due_s = now_s + self.config.timing.heartbeat_s
        heartbeat = Heartbeat(
            self.config.name,
            self.config.incarnation,
            self.term,
            now_s,
            self.tasks.upstream,
            self.tasks.draining,
        )
        targets = [self.leader] if self.leader else sorted(self._voters)
        effects.extend([Send(target, heartbeat) for target in targets])

    def _check_drained(self, now_s: float, effects: list[Effect]) -> None:
        if self._drain_end_s is None or self._drained:
            return
        timed_out = now_s >= self._drain_end_s
        if self.tasks.idle and (self.tasks.all_acknowledged or timed_out):
            self._drained = True
            effects.append(
                Record(
                    EventKind.DRAIN_COMPLETED,
                    subject=self.config.name,
                    logged=True,
                ),
            )
            effects.append(Drained())

    # Leader discovery, terms and leases.

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

    def _on_report_requested(
        self,
        message: ReportRequested,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if message.incarnation != self.config.incarnation:
            return
        requested = (message.term, message.epoch)
        adopted = (self.term, self.epoch)
        if requested < adopted:
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
            self.tasks.reports(),
        )
        effects.append(Send(self.leader, report))
        self._send_heartbeat(event.now_s, effects)

    def _on_lease_granted(
        self,
        message: LeaseGranted,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        is_own = message.incarnation == self.config.incarnation
        if not is_own or message.term != self.term:
            return
        if not self.lease.is_active(event.now_s):
            effects.append(
                Record(
                    EventKind.LEASE_GRANTED,
                    subject=self.config.name,
                    detail=f'term {self.term}',
                ),
            )
        self.lease.extend(message.echo_s, message.lease_s)

    # Tasks and documents.

    def _on_assign(
        self,
        message: Assign,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        adopted = (message.term, message.epoch) == (self.term, self.epoch)
        if adopted and self._is_own_incarnation(message.incarnation):
            self.tasks.assign(message, event.now_s, effects)

    def _on_run_ended(self, event: RunEnded, effects: list[Effect]) -> None:
        self.tasks.run_ended(event.outcome, event.now_s, effects)

    def _on_acknowledge(
        self,
        message: Acknowledge,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        self.tasks.acknowledge(message.task_ids, event.now_s)
        self._check_drained(event.now_s, effects)

    def _on_cancel_tasks(
        self,
        message: CancelTasks,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        is_current_term = message.term >= self.term
        if is_current_term and self._is_own_incarnation(message.incarnation):
            self.tasks.cancel(message, event.now_s, effects)

    def _on_stop_stale(
        self,
        message: StopStale,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        if self._is_own_incarnation(message.incarnation):
            self.tasks.stop_stale(message, effects)

    def _on_stop_ended(self, event: StopEnded, effects: list[Effect]) -> None:
        self.tasks.stop_ended(event.task_id, stopped=event.stopped)

    def _on_document_update(
        self,
        message: DocumentUpdate,
        event: MessageReceived,
        effects: list[Effect],
    ) -> None:
        reply = self.applied_versions.apply_update(message)
        effects.append(Send(event.sender.name, reply))

    def _is_own_incarnation(self, incarnation: str) -> bool:
        return incarnation == self.config.incarnation
