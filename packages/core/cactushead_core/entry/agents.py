"""The leader's view of agents: registration, leases and reports."""

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

ACKNOWLEDGE_S = 0.2
REPEAT_CANCEL_S = 2.0


@dataclass(slots=True)
class AgentView:
    """What the leader knows of one agent.

    Attributes:
        name: Name of the agent.
        incarnation: Its registered incarnation.
        lease_end_s: When its lease has surely ended, on the leader's clock.
        epoch: Number of its last report in this term.
        reported: Whether it has reported in this epoch.
        registered: Whether its registration is committed.
        connected: Whether a link to it is up.
        echo_s: Its own clock in its newest heartbeat.
        upstream: What it announced.
        leaving: Whether it takes no new work.
        gone: Whether it is given up.
        tasks: Tasks that it may hold, by id.
        stale: Tasks that its upstream may still run for an earlier
            incarnation, by id.
        cancels: Tasks that it was asked to stop, by id.
        acknowledged: Task ids to acknowledge.
    """

    name: str
    incarnation: str
    lease_end_s: float
    epoch: int = 1
    reported: bool = False
    registered: bool = False
    connected: bool = True
    echo_s: float = -1.0
    upstream: UpstreamSpec | None = None
    leaving: bool = False
    gone: bool = False
    tasks: dict[str, TaskRef] = field(default_factory=dict)
    stale: dict[str, TaskRef] = field(default_factory=dict)
    cancels: dict[str, TaskRef] = field(default_factory=dict)
    acknowledged: list[str] = field(default_factory=list)

    @property
    def has_left(self) -> bool:
        """Whether it reported, takes no more work and holds none."""
        settled = self.reported and not self.gone
        return settled and self.leaving and not self.tasks

    @property
    def takes_work(self) -> bool:
        """Whether it may be given tasks, lease aside."""
        able = self.reported and self.connected and not self.gone
        return able and self.upstream is not None and not self.leaving


class AgentRegistry:
    """Keeps the agents of one term.

    Explanation:
        An agent is given a lease only after its registration is committed
        and it has reported what it started. A silent agent is given up once
        its lease has surely ended and a grace time has passed.
    """

    def __init__(self, context: LeaderContext, now_s: float) -> None:
        """Takes over the registered agents; each may hold an old lease.

        Args:
            context: The leader's context.
            now_s: Monotonic clock.
        """
        self._context = context
        self._timing = context.config.timing
        self._repeat_due_s = now_s
        self._acknowledge_due_s = now_s
        self._retired: set[str] = set()
        self.views: dict[str, AgentView] = {}
        for name, incarnation in context.state.agents.items():
            view = AgentView(name, incarnation, self._lease_end_s(now_s))
            view.registered = True
            self.views[name] = view

    def current(self, name: str, incarnation: str) -> AgentView | None:
        """Returns the view of an agent's registered incarnation, or None.

        Args:
            name: Name of the agent.
            incarnation: Incarnation that a message names.
        """
        view = self.views.get(name)
        if view is None or view.incarnation != incarnation:
            return None
        return view

    def heartbeat(self, message: Heartbeat, now_s: float) -> AgentView | None:
        """Handles a heartbeat.

        Args:
            message: The heartbeat.
            now_s: Monotonic clock.

        Returns:
            The view of an agent that was replaced by a new incarnation and
            whose tasks are lost, or None.
        """
        if message.incarnation in self._retired:
            return None
        lost = self._register(message, now_s)
        view = self.views[message.agent]
        view.connected = True
        view.upstream = message.upstream
        view.leaving = message.leaving
        view.echo_s = max(view.echo_s, message.sent_s)
        if view.registered and not view.reported:
            self._want_report(view)
        elif view.registered:
            self._grant(view, message.sent_s, now_s)
        return lost

    def connected(self, name: str) -> None:
        """Asks for a new report, as messages of the old link may be lost.

        Args:
            name: Name of the agent.
        """
        view = self.views.get(name)
        if view is not None:
            view.connected = True
            _expect_report(view)

    def disconnected(self, name: str, now_s: float) -> None:
        """Gives an agent no work while no link is up.

        Args:
            name: Name of the agent.
            now_s: Monotonic clock.
        """
        view = self.views.get(name)
        if view is None:
            return
        self._context.scheduler.set_unavailable(name, now_s)
        if view.has_left:
            # A later leader need not wait for its report.
            self._give_up(view, 'left')
        view.connected = False
        _expect_report(view)

    def tick(self, now_s: float) -> list[AgentView]:
        """Ends leases, repeats cancellations and sends acknowledgements.

        Args:
            now_s: Monotonic clock.

        Returns:
            Views of agents that are given up now.
        """
        if now_s >= self._repeat_due_s:
            self._repeat_due_s = now_s + REPEAT_CANCEL_S
            for view in self.views.values():
                self._send_cancels(view)
        if now_s >= self._acknowledge_due_s:
            self._acknowledge_due_s = now_s + ACKNOWLEDGE_S
            for view in self.views.values():
                self.flush_acknowledged(view)
        return self._find_gone(now_s)

    def acknowledge(self, name: str, task_id: str) -> None:
        """Tells an agent, with the next batch, to drop an outcome.

        Args:
            name: Name of the agent.
            task_id: Id of the task.
        """
        view = self.views.get(name)
        if view is not None:
            view.acknowledged.append(task_id)

    def flush_acknowledged(self, view: AgentView) -> None:
        """Sends the waiting acknowledgements of an agent.

        Args:
            view: The agent.
        """
        if not view.acknowledged or not view.connected:
            return
        message = Acknowledge(self._context.term, tuple(view.acknowledged))
        view.acknowledged = []
        self._context.send(view.name, message)

    def cancel(self, task: TaskRef, name: str) -> None:
        """Asks an agent to recall or stop a task.

        Args:
            task: The task.
            name: Name of the agent that may hold it.
        """
        view = self.views.get(name)
        if view is not None:
            view.cancels[task.task_id] = task
            # Cancellations of one turn leave together with the next batch.
            self._repeat_due_s = -1.0

    def release(self, view: AgentView, task_id: str) -> None:
        """Forgets a task that an agent holds no more.

        Args:
            view: The agent.
            task_id: Id of the task.
        """
        view.tasks.pop(task_id, None)
        view.cancels.pop(task_id, None)

    def _lease_end_s(self, now_s: float) -> float:
        return now_s + self._timing.lease_s * (1 + 2 * self._timing.drift)

    def _register(
        self,
        message: Heartbeat,
        now_s: float,
    ) -> AgentView | None:
        view = self.views.get(message.agent)
        if view is not None and view.incarnation == message.incarnation:
            if view.gone:
                self._propose_registration(view)
            return None
        fresh = AgentView(
            message.agent,
            message.incarnation,
            self._lease_end_s(now_s),
        )
        if view is not None:
            self._retired.add(view.incarnation)
            fresh.stale = {**view.stale, **view.tasks}
        self.views[message.agent] = fresh
        self._propose_registration(fresh)
        return view

    def _propose_registration(self, view: AgentView) -> None:
        view.gone = False
        view.registered = False

        def registered(now_s: float) -> None:
            view.registered = True
            if self.current(view.name, view.incarnation) is view:
                self._want_report(view)

        self._context.registrations.append(
            Proposal(
                AgentRegistered(view.name, view.incarnation),
                registered,
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

    def _want_report(self, view: AgentView) -> None:
        message = ReportRequested(
            self._context.term,
            view.epoch,
            view.incarnation,
            self._context.config.name,
        )
        self._context.send(view.name, message)

    def _grant(self, view: AgentView, echo_s: float, now_s: float) -> None:
        if not self._context.replica.has_quorum(now_s):
            return
        view.lease_end_s = self._lease_end_s(now_s)
        self._context.send(
            view.name,
            LeaseGranted(
                self._context.term,
                view.incarnation,
                echo_s,
                self._timing.lease_s,
            ),
        )
        scheduler = self._context.scheduler
        if view.upstream is None:
            scheduler.set_unavailable(view.name, now_s)
            return
        scheduler.set_upstream(
            view.upstream,
            available=view.takes_work,
            now_s=now_s,
        )

    def _send_cancels(self, view: AgentView) -> None:
        if not view.connected:
            return
        if view.cancels:
            self._context.send(
                view.name,
                CancelTasks(
                    self._context.term,
                    view.incarnation,
                    tuple(view.cancels.values()),
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

    def _find_gone(self, now_s: float) -> list[AgentView]:
        gone: list[AgentView] = []
        for view in self.views.values():
            if view.gone or now_s <= view.lease_end_s:
                continue
            self._context.scheduler.set_unavailable(view.name, now_s)
            if now_s > view.lease_end_s + self._timing.gone_s:
                gone.append(view)
                self._give_up(view, 'lease ended')
        return gone

    def _give_up(self, view: AgentView, cause: str) -> None:
        view.gone = True
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


def _expect_report(view: AgentView) -> None:
    # Reports and assignments of the earlier epoch count no more.
    view.reported = False
    view.epoch += 1
