"""Queues, starts, renews and stops the runs at an agent's upstream."""

from ..effects import Count, Effect, Record
from ..events import Peer, ProcessResumed
from ..tasks import OfferTasks, RunEnd
from .call_answers import CallAnswers
from .calls import UpstreamCalls
from .crashes import CrashReporter
from .events import (
    HeartbeatReceived,
    LeasesRenewed,
    RenewalFailed,
    StartCallCompleted,
    StopCallCompleted,
    UpstreamDeregistered,
)
from .evidence import discarded_record, known_task_record
from .incarnations import Incarnations
from .model import Heartbeat
from .outbox import Outbox
from .owners import Owners
from .ownership import OwnershipTimes
from .placed_runs import make_run
from .reconciler import RunReconciler
from .renewals import Renewals
from .runs import LeasedRun, RunTable
from .sessions import Sessions
from .settings import LeasingSettings
from .start_plan import plan_starts
from .stop_calls import StopCalls
from .upstream_tracker import UpstreamTracker


class LeaseManager:
    """Manages the queue, capacity and leases of one upstream.

    Explanation:
        Resources are allocated to a run from its start call until the upstream
        has listed its end, or until a list requested after a confirmed stop
        no longer contains it. Runs unknown to the agent are stopped; until
        they are gone, the agent neither starts tasks nor reports its runs to
        the entries.
    """

    def __init__(self, settings: LeasingSettings) -> None:
        """Initializes the manager without an upstream.

        Args:
            settings: Settings.
        """
        self.runs = RunTable()
        self._claims = settings.claims
        self._calls = UpstreamCalls(
            settings, lambda: self._owners.find_lease_limit_s()
        )
        max_duration_s = self._calls.clock.max_duration_s(settings.lease_s)
        self._tracker = UpstreamTracker(max_duration_s)
        self._stop_calls = StopCalls(self._calls, settings.retry_s)
        self._sessions = Sessions(
            self.runs, settings.token, settings.load_interval_s
        )
        self._outbox = Outbox(self.runs)
        crash_reporter = CrashReporter(self._outbox, self._sessions)
        self._reconciler = RunReconciler(
            self.runs,
            self._calls,
            self._stop_calls,
            self._outbox,
            crash_reporter,
        )
        self._incarnations = Incarnations(
            self.runs,
            self._tracker,
            self._calls,
            self._reconciler,
            self._outbox,
            crash_reporter,
            self._stop_calls,
        )
        self._renewals = Renewals(
            settings,
            self.runs,
            self._tracker,
            self._calls,
            self._reconciler,
            self._incarnations,
            crash_reporter,
        )
        self._answers = CallAnswers(
            self.runs,
            self._tracker,
            self._calls,
            self._renewals,
            self._outbox,
        )
        self._owners = Owners(
            self.runs,
            self._tracker,
            self._stop_calls,
            self._sessions,
            OwnershipTimes(settings.owner_silence_s, settings.owner_grace_s),
            settings,
        )

    @property
    def upstream(self) -> Heartbeat | None:
        """The upstream's newest heartbeat, None without an upstream."""
        return self._tracker.upstream

    @property
    def idle(self) -> bool:
        """Whether no run of this agent is at the upstream."""
        return not self.runs.at_upstream()

    @property
    def quiet(self) -> bool:
        """Whether nothing runs, waits or has to be found out."""
        return self._renewals.quiet

    @property
    def ready(self) -> bool:
        """Whether new tasks may start."""
        return self._incarnations.ready

    # Heartbeats and shutdown of the upstream.

    def heartbeat_received(
        self,
        event: HeartbeatReceived,
        effects: list[Effect],
    ) -> None:
        """Processes a heartbeat; one older than the known one is ignored."""
        if self._incarnations.heartbeat_received(event, effects):
            self._renewals.renew_now(event.now_s, effects)

    def deregistered(
        self, event: UpstreamDeregistered, effects: list[Effect]
    ) -> None:
        """Returns the queued tasks when the upstream announces its shutdown."""
        if self._incarnations.deregistered(event, effects):
            self._renewals.renew_now(event.now_s, effects)

    # Messages and connections of entries.

    def tasks_offered(
        self,
        sender: Peer,
        offer: OfferTasks,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Queues offered tasks or returns them to their entry.

        Args:
            sender: The entry.
            offer: The tasks.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        if not self._sessions.accept_offer(sender, offer.session, offer.number):
            effects.append(Count('offers', 'earlier session'))
            effects.append(discarded_record(sender, offer))
            return
        self._owners.offered(sender, now_s)
        basis = self._sessions.find_basis(sender)
        for task_run in offer.runs:
            run = make_run(sender, offer, task_run, basis, now_s)
            rejection = self._find_rejection(run)
            if rejection:
                self._record_known(run, effects)
                self._outbox.add(run, RunEnd.RETURNED, now_s, rejection)
            else:
                self.runs.add(run)

    def job_cancelled(
        self,
        sender: Peer,
        job: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Removes queued runs of an owner's job and stops started ones."""
        self._owners.cancel_job(sender, job, now_s, effects)

    def entry_connected(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Opens a session; stops runs of the entry's earlier incarnation."""
        self._sessions.connected(peer)
        self._owners.connected(peer, now_s, effects)

    def release(self, names: list[str]) -> list[str]:
        """Ends the sessions with entries whose links are not needed.

        Args:
            names: The entries.

        Returns:
            Those of them whose links may be closed now.
        """
        return self._sessions.retire(names)

    def renew_session(self, peer: Peer, effects: list[Effect]) -> None:
        """Discards the offers of an entry whose messages were held up.

        Explanation:
            The entry may have placed the tasks elsewhere meanwhile. It offers
            the others again after the report that begins the new session.

        Args:
            peer: The entry.
            effects: List to which effects are appended.
        """
        self._sessions.renew(peer)
        effects.append(
            Record('session renewed', subject=peer.name, logged=True),
        )

    def entry_heard(self, peer: Peer, now_s: float) -> None:
        """Records that an entry has sent a message."""
        self._owners.heard(peer, now_s)

    def entry_lost(self, peer: Peer, now_s: float) -> None:
        """Starts the grace period of a disconnected entry's runs."""
        self._sessions.disconnected(peer)
        self._owners.disconnected(peer, now_s)

    # Answers to calls.

    def start_completed(
        self,
        event: StartCallCompleted,
        effects: list[Effect],
    ) -> None:
        """Processes the result of a start call."""
        self._answers.start_completed(event, effects)

    def stop_completed(self, event: StopCallCompleted) -> None:
        """Processes the result of a stop call."""
        self._answers.stop_completed(event)

    def leases_renewed(
        self, event: LeasesRenewed, effects: list[Effect]
    ) -> None:
        """Reconciles the agent's runs with the upstream's lists."""
        self._renewals.answered(event, effects)

    def renewal_failed(
        self,
        event: RenewalFailed,
        effects: list[Effect],
    ) -> None:
        """Schedules a retry; ends the runs if their leases have expired."""
        self._renewals.failed(event, effects)

    # Timers.

    def resumed(self, event: ProcessResumed) -> None:
        """Records a pause of this process."""
        self._owners.resumed(event)

    def expire_owners(self, now_s: float, effects: list[Effect]) -> None:
        """Drops the runs whose owners may have placed them elsewhere.

        Args:
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        self._owners.expire(now_s, effects)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Renews leases and repeats stop calls."""
        self._renewals.renew_if_due(now_s, effects)
        self._stop_calls.stop_unconfirmed(self.runs, now_s)
        self._stop_calls.call_all_due(self.runs, self.upstream, now_s, effects)

    def end_turn(
        self,
        now_s: float,
        effects: list[Effect],
        began_s: float | None = None,
    ) -> None:
        """Starts queued runs that fit and sends results and reports.

        Args:
            now_s: The agent's clock.
            effects: List to which effects are appended.
            began_s: Time of the first event of the turn; `now_s` by default.
        """
        self._owners.turn_ended(now_s if began_s is None else began_s)
        if self._start_queued(now_s, effects):
            self._renewals.renew_now(now_s, effects)
        # Results are sent before reports: an entry expects no result of a task
        # that is missing from a report.
        self._outbox.send(self._sessions, effects)
        if not self._tracker.knows_all_runs(now_s):
            return
        self._sessions.report(
            self.upstream,
            ready=self.ready,
            new_sessions=self._incarnations.report_due,
            effects=effects,
        )
        self._incarnations.report_due = False
        capacity_cpu_m = 0
        if self.upstream is not None:
            capacity_cpu_m = self.upstream.capacity.cpu_m
        self._sessions.send_load(
            self._reconciler.mean_run_s, capacity_cpu_m, now_s, effects
        )

    def set_evacuated(
        self, now_s: float, effects: list[Effect], *, evacuated: bool
    ) -> None:
        """Returns the queued tasks when the data centre is evacuated.

        Args:
            now_s: The agent's clock.
            effects: List to which effects are appended.
            evacuated: Whether no more tasks may start.
        """
        if self._incarnations.evacuated is not evacuated:
            self._incarnations.evacuated = evacuated
            self._incarnations.report_change(now_s, effects)

    def drain(self, now_s: float, effects: list[Effect]) -> None:
        """Stops accepting tasks and returns the queued ones."""
        self._incarnations.draining = True
        self._incarnations.report_change(now_s, effects)

    # Helpers.

    def _find_rejection(self, run: LeasedRun) -> str:
        """Returns why an offered run can't be queued, empty if it can be."""
        rejection = self._incarnations.find_rejection(run)
        if rejection:
            return rejection
        known = self.runs.find(run.task)
        if known is None:
            return ''
        return f'run {known.run} of the task is {known.phase}'

    def _record_known(self, run: LeasedRun, effects: list[Effect]) -> None:
        """Records a rejected offer of a task that has a run here.

        Explanation:
            Its entry may offer the task again with each tick.
        """
        known = self.runs.find(run.task)
        if known is None:
            return
        effects.append(Count('offers', 'task known'))
        if known.contested_by != run.owner:
            known.contested_by = run.owner
            effects.append(known_task_record(run, known))

    def _start_queued(self, now_s: float, effects: list[Effect]) -> bool:
        """Starts queued runs; returns whether the upstream was idle before."""
        upstream = self.upstream
        if upstream is None or not self.ready:
            return False
        if not self.runs.queued_count or not self._calls.can_start(now_s):
            return False
        if self._incarnations.in_doubt:
            return False
        was_idle = self.idle
        plan = plan_starts(
            self.runs.queued(now_s),
            self.runs.at_upstream(),
            upstream.capacity - self.runs.allocated,
            now_s,
            claims=self._claims,
        )
        for run in plan.starts:
            # Catches a change of the upstream that wasn't reported.
            rejection = self._incarnations.find_rejection(run)
            if rejection:
                self._outbox.finish(run, RunEnd.RETURNED, now_s, rejection)
                continue
            self.runs.mark_started(run, now_s)
            effects.append(self._calls.start(run, upstream, now_s))
        for rejected in plan.rejected:
            self._outbox.finish(rejected, RunEnd.NO_CAPACITY, now_s, 'no room')
        if plan.held_back:
            effects.append(Count('claims', 'held back', plan.held_back))
        return was_idle and not self.idle
