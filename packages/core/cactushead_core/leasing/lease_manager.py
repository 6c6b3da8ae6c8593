"""Queues, starts, renews and stops the runs at an agent's upstream."""

from ..effects import Count, Effect, Record
from ..events import Peer
from ..tasks import OfferTasks, RunEnd, TaskRef, TaskRun
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
from .model import Heartbeat, StartAnswer, UpstreamIdentity, UpstreamState
from .outbox import Outbox
from .reconciler import RunReconciler
from .runs import LeasedRun, Phase, RunTable, run_record
from .sessions import Sessions
from .settings import LeasingSettings
from .stop_calls import StopCalls
from .upstream_tracker import NO_HEARTBEAT, UpstreamTracker

_TOO_LARGE = 'larger than the upstream'


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
        self._settings = settings
        self._calls = UpstreamCalls(settings)
        max_duration_s = self._calls.clock.max_duration_s(settings.lease_s)
        self._tracker = UpstreamTracker(max_duration_s)
        self._stop_calls = StopCalls(self._calls, settings.retry_s)
        self._sessions = Sessions(self.runs, settings.load_interval_s)
        self._outbox = Outbox(self.runs)
        self._crash_reporter = CrashReporter(self._outbox, self._sessions)
        self._reconciler = RunReconciler(
            self.runs,
            self._calls,
            self._stop_calls,
            self._outbox,
            self._crash_reporter,
        )
        self._draining = False
        self._report_due = False
        self._lost_owners: dict[Peer, float] = {}

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
        return (
            not len(self.runs)
            and self._tracker.reconciled
            and not self._calls.has_unknown_runs
        )

    @property
    def ready(self) -> bool:
        """Whether new tasks may start."""
        return self._tracker.accepts_tasks and not self._draining

    # Heartbeats and shutdown of the upstream.

    def heartbeat_received(
        self,
        event: HeartbeatReceived,
        effects: list[Effect],
    ) -> None:
        """Processes a heartbeat; one older than the known one is ignored."""
        heartbeat = event.heartbeat
        known = self.upstream
        if not self._tracker.is_newer(heartbeat):
            return
        if known is None or known.identity != heartbeat.identity:
            self._begin_incarnation(heartbeat, event.now_s, effects)
        self._tracker.upstream = heartbeat
        if not self._calls.clock.known:
            self._calls.clock.observe(heartbeat.clock_ms, event.now_s)
        if known is not None and _differs(known, heartbeat):
            for run in self.runs.oversized(heartbeat.capacity):
                self._outbox.finish(
                    run, RunEnd.RETURNED, event.now_s, _TOO_LARGE
                )
            self._report_change(event.now_s)

    def deregistered(
        self, event: UpstreamDeregistered, effects: list[Effect]
    ) -> None:
        """Ends all runs when the upstream announces its shutdown."""
        known = self.upstream
        if known is not None and known.identity.upstream == event.upstream:
            self._end_incarnation(
                'upstream left', event.now_s, effects, crashed=False
            )

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
            return
        for task_run in offer.runs:
            run = _make_run(sender, offer, task_run, now_s)
            rejection = self._find_rejection(run)
            if rejection:
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
        for run in self.runs.of_owner(sender):
            if run.task.job == job:
                self._cancel_run(run, 'withdrawn', now_s, effects)

    def entry_connected(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Opens a session; stops runs of the entry's earlier incarnation."""
        self._lost_owners.pop(peer, None)
        self._sessions.connected(peer)
        for owner in list(self._lost_owners):
            if owner.name == peer.name:
                self._drop_owner(owner, now_s, effects)

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

    def entry_lost(self, peer: Peer, now_s: float) -> None:
        """Starts the grace period of a disconnected entry's runs."""
        self._sessions.disconnected(peer)
        if self.runs.of_owner(peer):
            self._lost_owners[peer] = now_s + self._settings.owner_grace_s

    # Answers to calls.

    def start_completed(
        self,
        event: StartCallCompleted,
        effects: list[Effect],
    ) -> None:
        """Processes the result of a start call."""
        run = self._find_run(event.upstream, event.task, event.run)
        if run is None:
            return
        self._calls.clock.observe(event.clock_ms, event.now_s)
        match event.answer:
            case StartAnswer.STARTED:
                run.started_s = event.now_s
                if run.phase is Phase.STARTING:
                    run.phase = Phase.RUNNING
            case StartAnswer.UNKNOWN:
                self._start_unanswered(run, event, effects)
            case _:
                if event.answer is StartAnswer.FENCED:
                    self._calls.raise_token(effects)
                effects.append(run_record('start refused', run, event.cause))
                self._outbox.finish(
                    run, RunEnd.RETURNED, event.now_s, event.cause
                )

    def _start_unanswered(
        self,
        run: LeasedRun,
        event: StartCallCompleted,
        effects: list[Effect],
    ) -> None:
        """Waits for a list that shows whether the run has started.

        Explanation:
            If only the answer was lost, the run goes on. If the call is late,
            the next list doesn't contain the run, and it is stopped, which
            prevents its start.
        """
        if run.phase is not Phase.STARTING:
            return
        effects.append(run_record('start unanswered', run, event.cause))
        run.unanswered_s = event.now_s
        self._calls.next_renewal_s = min(
            self._calls.next_renewal_s, event.now_s
        )
        self._renew(event.now_s, effects)

    def stop_completed(
        self,
        event: StopCallCompleted,
        effects: list[Effect],
    ) -> None:
        """Processes the result of a stop call."""
        run = self._find_run(event.upstream, event.task, event.run)
        if run is None:
            return
        run.stop_pending = False
        if event.confirmed:
            run.stop_confirmed_s = event.now_s

    def leases_renewed(
        self, event: LeasesRenewed, effects: list[Effect]
    ) -> None:
        """Reconciles the agent's runs with the upstream's lists."""
        self._calls.renewal_pending = False
        if not self._tracker.matches(event.upstream):
            return
        if self._adopt_incarnation(event.upstream, effects):
            self._report_change(event.now_s)
        if self._reconciler.crashed is None:
            self._crash_reporter.answered()
        self._calls.clock.observe(event.clock_ms, event.now_s)
        acknowledged = self._calls.acknowledged
        self._reconciler.reconcile(event, self.upstream, effects)
        if acknowledged == self._calls.acknowledged:
            # Nothing new ended: keeps a minimum interval between renewals in
            # case the upstream answers without waiting.
            interval_s = (
                self._settings.idle_list_interval_s
                if self.quiet
                else self._settings.min_renewal_interval_s
            )
            self._calls.next_renewal_s = max(
                event.sent_s + interval_s, event.now_s
            )
        if not self._tracker.reconciled and not self._calls.has_unknown_runs:
            self._tracker.reconciled = True
            self._report_due = True
        self._renew(event.now_s, effects)

    def renewal_failed(
        self,
        event: RenewalFailed,
        effects: list[Effect],
    ) -> None:
        """Schedules a retry; ends the runs if their leases have expired."""
        self._calls.renewal_pending = False
        if not self._tracker.matches(event.upstream):
            return
        effects.append(
            Record(
                'renewal failed',
                subject=event.upstream.upstream,
                detail=event.cause,
                logged=True,
            ),
        )
        if event.fenced:
            self._calls.raise_token(effects)
        # The first retry is immediate, since the connection may have been
        # closed by a crash.
        first = self._crash_reporter.renewal_failed(event.now_s)
        pause_s = 0.0 if first else self._settings.retry_s
        self._calls.next_renewal_s = event.now_s + pause_s
        if event.refused:
            self._end_incarnation(event.cause, event.now_s, effects)
        elif event.now_s > self._calls.latest_lease_end_s:
            self._crash_reporter.leases_lapsed(self.runs.at_upstream())
            self._finish_all(RunEnd.LEASE_EXPIRED, 'lease lapsed', event.now_s)
        self._renew(event.now_s, effects)

    # Timers.

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Renews leases, repeats stop calls and expires lost owners."""
        self._renew(now_s, effects)
        self._stop_calls.stop_unconfirmed(self.runs, now_s)
        self._stop_calls.call_all_due(self.runs, self.upstream, now_s, effects)
        for owner, until_s in list(self._lost_owners.items()):
            if now_s >= until_s:
                self._drop_owner(owner, now_s, effects)

    def end_turn(self, now_s: float, effects: list[Effect]) -> None:
        """Starts queued runs that fit and sends results and reports."""
        if self._start_queued(now_s, effects):
            self._calls.next_renewal_s = min(self._calls.next_renewal_s, now_s)
            self._renew(now_s, effects)
        # Results are sent before reports: an entry treats a run that is
        # missing from a report as lost.
        self._outbox.send(effects)
        if not self._tracker.knows_all_runs(now_s):
            return
        self._sessions.report(
            self.upstream,
            ready=self.ready,
            new_sessions=self._report_due,
            effects=effects,
        )
        self._report_due = False
        capacity_cpu_m = 0
        if self.upstream is not None:
            capacity_cpu_m = self.upstream.capacity.cpu_m
        self._sessions.send_load(
            self._reconciler.mean_run_s, capacity_cpu_m, now_s, effects
        )

    def drain(self, now_s: float) -> None:
        """Stops accepting tasks and returns the queued ones."""
        self._draining = True
        self._report_change(now_s)

    # Helpers.

    def _find_run(
        self,
        upstream: UpstreamIdentity,
        task: TaskRef,
        number: int,
    ) -> LeasedRun | None:
        """Returns the run that an answer refers to, if still tracked."""
        if not self._tracker.matches(upstream):
            return None
        run = self.runs.find(task)
        if run is None or run.run != number or run.phase is Phase.QUEUED:
            return None
        return run

    def _find_rejection(self, run: LeasedRun) -> str:
        """Returns why an offered run can't be queued, empty if it can be."""
        if self.upstream is None or not self.ready:
            return 'upstream takes no tasks'
        if not self.upstream.capacity.can_fit(run.needs):
            return _TOO_LARGE
        known = self.runs.find(run.task)
        if known is None:
            return ''
        return f'run {known.run} of the task is {known.phase}'

    def _start_queued(self, now_s: float, effects: list[Effect]) -> bool:
        """Starts queued runs; returns whether the upstream was idle before."""
        upstream = self.upstream
        if upstream is None or not self.ready or not self._calls.clock.known:
            return False
        if not self.runs.queued_count:
            return False
        was_idle = self.idle
        for run in self.runs.queued(now_s):
            free = upstream.capacity - self.runs.allocated
            if free.can_fit(run.needs):
                self.runs.mark_started(run, now_s)
                effects.append(self._calls.start(run, upstream, now_s))
            elif not run.may_wait:
                self._outbox.finish(run, RunEnd.NO_CAPACITY, now_s, 'no room')
        return was_idle and not self.idle

    def _renew(self, now_s: float, effects: list[Effect]) -> None:
        calls = self._calls
        upstream = self.upstream
        if upstream is None or calls.renewal_pending:
            return
        if now_s >= calls.next_renewal_s:
            waits = self._tracker.reconciled and not self.quiet
            wait_s = self._settings.renew_wait_s if waits else 0.0
            renewal = calls.renew(
                upstream,
                now_s,
                idle=self.idle,
                wait_s=wait_s,
            )
            effects.append(renewal)

    def _cancel_run(
        self,
        run: LeasedRun,
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if run.phase is Phase.QUEUED:
            self.runs.remove(run)
        else:
            self._stop_calls.mark_stopping(run, RunEnd.STOPPED, cause, now_s)
            self._stop_calls.call_if_due(run, self.upstream, now_s, effects)

    def _drop_owner(
        self,
        owner: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self._lost_owners.pop(owner, None)
        runs = self.runs.of_owner(owner)
        effects.append(
            Record(
                'owner lost',
                subject=owner.name,
                detail=f'{len(runs)} runs end',
                logged=True,
            ),
        )
        for run in runs:
            self._cancel_run(run, 'owner lost', now_s, effects)

    def _begin_incarnation(
        self,
        heartbeat: Heartbeat,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self._tracker.matches(heartbeat.identity):
            self._adopt_incarnation(heartbeat.identity, effects)
            return
        if self.upstream is not None:
            self._end_incarnation('another upstream', now_s, effects)
        effects.append(
            Record(
                'upstream announced',
                subject=heartbeat.identity.upstream,
                detail=f'{heartbeat.service} {heartbeat.capacity}',
                logged=True,
            ),
        )
        self._tracker.track_new()
        self._calls.reset()
        self._calls.next_renewal_s = now_s

    def _adopt_incarnation(
        self,
        identity: UpstreamIdentity,
        effects: list[Effect],
    ) -> bool:
        """Switches to a newer incarnation of the upstream with the same id.

        Explanation:
            Start calls in flight may be executed by the new incarnation, so
            its next list decides which runs are lost.

        Returns:
            Whether it is newer than the known one.
        """
        known = self.upstream
        if known is None or not self._tracker.update_incarnation(identity):
            return False
        self._reconciler.crashed = known.identity
        effects.append(
            Record(
                'upstream restarted',
                subject=identity.upstream,
                detail=f'{len(self.runs)} runs to look for',
                logged=True,
            ),
        )
        self._calls.reset()
        return True

    def _end_incarnation(
        self,
        cause: str,
        now_s: float,
        effects: list[Effect],
        *,
        crashed: bool = True,
    ) -> None:
        """Ends all runs, since the upstream incarnation ended.

        Explanation:
            One that ends without having announced it has crashed.
        """
        known = self.upstream
        effects.append(
            Record(
                'upstream gone',
                subject='' if known is None else known.identity.upstream,
                detail=f'{cause}, {len(self.runs)} runs',
                logged=True,
            ),
        )
        if known is not None and known.state is UpstreamState.READY and crashed:
            self._crash_reporter.crashed(
                known.identity,
                self.runs.at_upstream(),
                cause,
                now_s,
                effects,
            )
        self._finish_all(RunEnd.LOST, cause, now_s)
        self._tracker.mark_gone()
        self._calls.renewal_pending = False
        self._report_change(now_s)

    def _report_change(self, now_s: float) -> None:
        if not self.ready:
            for run in self.runs.queued():
                self._outbox.finish(run, RunEnd.RETURNED, now_s, 'not ready')
        self._report_due = True

    def _finish_all(self, end: RunEnd, cause: str, now_s: float) -> None:
        for run in self.runs.at_upstream():
            self._outbox.finish(run, run.end or end, now_s, cause)


def _make_run(
    sender: Peer,
    offer: OfferTasks,
    task_run: TaskRun,
    now_s: float,
) -> LeasedRun:
    return LeasedRun(
        sender,
        TaskRef(offer.job, offer.step, task_run.index),
        task_run.run,
        offer.needs,
        offer.payload,
        now_s + offer.slack_s,
        offer.expected_s,
        offer.may_wait,
    )


def _differs(known: Heartbeat, heartbeat: Heartbeat) -> bool:
    return known.sequence == NO_HEARTBEAT or (
        (known.state, known.capacity, known.labels, known.service)
        != (
            heartbeat.state,
            heartbeat.capacity,
            heartbeat.labels,
            heartbeat.service,
        )
    )
