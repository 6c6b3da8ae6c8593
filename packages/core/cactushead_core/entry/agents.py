"""Registration, leases and start reports of agents at the leader."""

from dataclasses import dataclass, field

from ..agents.messages import (
    Acknowledge,
    CancelTasks,
    Heartbeat,
    LeaseGranted,
    ReportRequested,
    StopStale,
)
from ..agents.model import TaskRef, UpstreamSpec
from ..effects import EventKind, Record
from ..jobs.records import AgentRegistered, AgentRemoved
from .context import LeaderContext, Proposal

ACKNOWLEDGE_INTERVAL_S = 0.2
CANCEL_RESEND_INTERVAL_S = 2.0


@dataclass(slots=True)
class AgentView:
    """State that the leader keeps of one incarnation of an agent.

    Attributes:
        name: Name of the agent.
        incarnation: Its incarnation, registered or about to be.
        lease_end_s: Time on the leader's clock after which its lease has
            expired at any allowed clock drift.
        epoch: Number of the report that is requested or valid in this term.
        reported: Whether its report of this epoch was received.
        registered: Whether its registration is committed.
        connected: Whether a link to it is up.
        heartbeat_sent_s: Send time of its newest heartbeat, on the agent's
            clock.
        upstream: The upstream that it announced; None before the first
            heartbeat and while the health check of the upstream fails.
        draining: Whether it accepts no new tasks.
        deregistered: Whether its deregistration is proposed or committed.
        tasks: Tasks that are assigned to it or may be, by id.
        stale: Tasks of its earlier incarnations that its upstream may still
            run, by id.
        pending_cancels: Tasks whose cancellation is sent until their outcome
            arrives, by id.
        pending_acks: Ids of tasks whose outcomes are acknowledged with the
            next batch.
    """

    name: str
    incarnation: str
    lease_end_s: float
    epoch: int = 1
    reported: bool = False
    registered: bool = False
    connected: bool = True
    heartbeat_sent_s: float = -1.0
    upstream: UpstreamSpec | None = None
    draining: bool = False
    deregistered: bool = False
    tasks: dict[str, TaskRef] = field(default_factory=dict)
    stale: dict[str, TaskRef] = field(default_factory=dict)
    pending_cancels: dict[str, TaskRef] = field(default_factory=dict)
    pending_acks: list[str] = field(default_factory=list)

    @property
    def drained(self) -> bool:
        """Whether it has reported, accepts no new tasks and has none."""
        reconciled = self.reported and not self.deregistered
        return reconciled and self.draining and not self.tasks

    @property
    def accepts_tasks(self) -> bool:
        """Whether tasks may be assigned to it while its lease is valid."""
        reachable = self.reported and self.connected and not self.deregistered
        return reachable and self.upstream is not None and not self.draining


class AgentRegistry:
    """Registers agents, grants their leases and requests their reports.

    Explanation:
        The registry belongs to one term of a leader. An agent gets a lease
        only after its registration is committed and it has reported the
        tasks that it started. An agent without heartbeats is deregistered
        `gone_s` after its lease has expired at any allowed clock drift.
    """

    def __init__(self, context: LeaderContext, now_s: float) -> None:
        """Starts with the agents that are registered in the replicated state.

        Explanation:
            Each of them may hold a lease that an earlier leader granted just
            now, so its lease is assumed to start now.

        Args:
            context: The leader's context.
            now_s: Monotonic clock.
        """
        self._context = context
        self._timing = context.config.timing
        self._cancel_due_s = now_s
        self._acknowledge_due_s = now_s
        self._replaced_incarnations: set[str] = set()
        self.views: dict[str, AgentView] = {}
        for name, incarnation in context.state.agents.items():
            view = AgentView(name, incarnation, self._lease_end_s(now_s))
            view.registered = True
            self.views[name] = view

    def find_current(self, name: str, incarnation: str) -> AgentView | None:
        """Returns an agent's view if it is of the named incarnation, or None.

        Args:
            name: Name of the agent.
            incarnation: Incarnation that a message or a record names.
        """
        view = self.views.get(name)
        if view is None or view.incarnation != incarnation:
            return None
        return view

    def on_heartbeat(
        self, message: Heartbeat, now_s: float
    ) -> AgentView | None:
        """Registers the sender, or renews its lease or requests its report.

        Args:
            message: The heartbeat.
            now_s: Monotonic clock.

        Returns:
            The view of the earlier incarnation that the sender replaces and
            whose tasks are lost, or None.
        """
        if message.incarnation in self._replaced_incarnations:
            return None
        lost = self._register(message, now_s)
        view = self.views[message.agent]
        view.connected = True
        view.upstream = message.upstream
        view.draining = message.draining
        view.heartbeat_sent_s = max(view.heartbeat_sent_s, message.sent_s)
        if view.registered and not view.reported:
            self._request_report(view)
        elif view.registered:
            self._grant_lease(view, message.sent_s, now_s)
        return lost

    def on_connected(self, name: str) -> None:
        """Starts a new epoch, since messages of the old link may be lost.

        Explanation:
            The report of the new epoch is requested with the agent's next
            heartbeat.

        Args:
            name: Name of the agent.
        """
        view = self.views.get(name)
        if view is not None:
            view.connected = True
            _invalidate_report(view)

    def on_disconnected(self, name: str, now_s: float) -> None:
        """Makes an agent unavailable to the scheduler until it reports again.

        Explanation:
            An agent that has drained is deregistered.

        Args:
            name: Name of the agent.
            now_s: Monotonic clock.
        """
        view = self.views.get(name)
        if view is None:
            return
        self._context.scheduler.set_unavailable(name, now_s)
        if view.drained:
            # A later leader must not wait for the report of a drained agent.
            self._deregister(view, 'left')
        view.connected = False
        _invalidate_report(view)

    def tick(self, now_s: float) -> list[AgentView]:
        """Resends cancellations, sends acknowledgements and expires leases.

        Args:
            now_s: Monotonic clock.

        Returns:
            Views of the agents that are deregistered by this call.
        """
        if now_s >= self._cancel_due_s:
            self._cancel_due_s = now_s + CANCEL_RESEND_INTERVAL_S
            for view in self.views.values():
                self._resend_cancels(view)
        if now_s >= self._acknowledge_due_s:
            self._acknowledge_due_s = now_s + ACKNOWLEDGE_INTERVAL_S
            for view in self.views.values():
                self.flush_acks(view)
        return self._expire_leases(now_s)

    def acknowledge(self, name: str, task_id: str) -> None:
        """Queues the acknowledgement of an outcome for the next batch.

        Args:
            name: Name of the agent.
            task_id: Id of the task.
        """
        view = self.views.get(name)
        if view is not None:
            view.pending_acks.append(task_id)

    def flush_acks(self, view: AgentView) -> None:
        """Sends an agent its queued acknowledgements in one message.

        Args:
            view: The agent.
        """
        if not view.pending_acks or not view.connected:
            return
        message = Acknowledge(self._context.term, tuple(view.pending_acks))
        view.pending_acks = []
        self._context.send(view.name, message)

    def cancel_task(self, task: TaskRef, name: str) -> None:
        """Cancels a task at an agent, queued or running, in the next batch.

        Args:
            task: The task.
            name: Name of the agent that it may be assigned to.
        """
        view = self.views.get(name)
        if view is not None:
            view.pending_cancels[task.task_id] = task
            # The next tick sends all new cancellations in one message.
            self._cancel_due_s = -1.0

    def remove_task(self, view: AgentView, task_id: str) -> None:
        """Removes a task that is no longer assigned to an agent.

        Args:
            view: The agent.
            task_id: Id of the task.
        """
        view.tasks.pop(task_id, None)
        view.pending_cancels.pop(task_id, None)

    def _lease_end_s(self, now_s: float) -> float:
        return now_s + self._timing.lease_s * (1 + 2 * self._timing.drift)

    def _register(
        self,
        message: Heartbeat,
        now_s: float,
    ) -> AgentView | None:
        view = self.views.get(message.agent)
        if view is not None and view.incarnation == message.incarnation:
            if view.deregistered:
                self._propose_registration(view)
            return None
        replacement = AgentView(
            message.agent,
            message.incarnation,
            self._lease_end_s(now_s),
        )
        if view is not None:
            self._replaced_incarnations.add(view.incarnation)
            replacement.stale = {**view.stale, **view.tasks}
        self.views[message.agent] = replacement
        self._propose_registration(replacement)
        return view

    def _propose_registration(self, view: AgentView) -> None:
        view.deregistered = False
        view.registered = False

        def on_registered(now_s: float) -> None:
            view.registered = True
            if self.find_current(view.name, view.incarnation) is view:
                self._request_report(view)

        self._context.registrations.append(
            Proposal(
                AgentRegistered(view.name, view.incarnation),
                on_registered,
            ),
        )
        self._context.effects.append(
            Record(
                EventKind.UPSTREAM_ANNOUNCED,
                subject=view.name,
                detail=f'incarnation {view.incarnation}',
                logged=True,
            ),
        )

    def _request_report(self, view: AgentView) -> None:
        message = ReportRequested(
            self._context.term,
            view.epoch,
            view.incarnation,
            self._context.config.name,
        )
        self._context.send(view.name, message)

    def _grant_lease(
        self, view: AgentView, heartbeat_sent_s: float, now_s: float
    ) -> None:
        if not self._context.replica.has_leader_lease(now_s):
            return
        view.lease_end_s = self._lease_end_s(now_s)
        self._context.send(
            view.name,
            LeaseGranted(
                self._context.term,
                view.incarnation,
                heartbeat_sent_s,
                self._timing.lease_s,
            ),
        )
        scheduler = self._context.scheduler
        if view.upstream is None:
            scheduler.set_unavailable(view.name, now_s)
            return
        scheduler.set_upstream(
            view.upstream,
            available=view.accepts_tasks,
            now_s=now_s,
        )

    def _resend_cancels(self, view: AgentView) -> None:
        if not view.connected:
            return
        if view.pending_cancels:
            self._context.send(
                view.name,
                CancelTasks(
                    self._context.term,
                    view.incarnation,
                    tuple(view.pending_cancels.values()),
                ),
            )
        if view.stale and view.registered:
            self._context.send(
                view.name,
                StopStale(
                    self._context.term,
                    view.incarnation,
                    tuple(view.stale.values()),
                ),
            )

    def _expire_leases(self, now_s: float) -> list[AgentView]:
        expired: list[AgentView] = []
        for view in self.views.values():
            if view.deregistered or now_s <= view.lease_end_s:
                continue
            self._context.scheduler.set_unavailable(view.name, now_s)
            if now_s > view.lease_end_s + self._timing.gone_s:
                expired.append(view)
                self._deregister(view, 'lease ended')
        return expired

    def _deregister(self, view: AgentView, cause: str) -> None:
        view.deregistered = True
        self._context.registrations.append(
            Proposal(AgentRemoved(view.name, view.incarnation)),
        )
        self._context.effects.append(
            Record(
                EventKind.UPSTREAM_GONE,
                subject=view.name,
                detail=cause,
                logged=True,
            ),
        )


def _invalidate_report(view: AgentView) -> None:
    # The agent refuses assignments of earlier epochs, and the leader ignores
    # their reports.
    view.reported = False
    view.epoch += 1
