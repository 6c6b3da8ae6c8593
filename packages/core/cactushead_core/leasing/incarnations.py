"""Begins and ends incarnations of an agent's upstream."""

from collections import Counter
from dataclasses import replace

from ..effects import Count, Effect, Record
from ..tasks import RunEnd
from .calls import UpstreamCalls
from .crashes import CrashReporter
from .events import HeartbeatReceived, UpstreamDeregistered
from .evidence import add_runs, replaced_record, returned_record
from .model import Heartbeat, UpstreamIdentity, UpstreamState
from .outbox import Outbox
from .placed_runs import PlacedRuns
from .reconciler import RunReconciler
from .runs import LeasedRun, RunTable
from .stop_calls import StopCalls
from .successor import Successor
from .upstream_tracker import NO_HEARTBEAT, UpstreamTracker


class Incarnations:
    """Follows the upstream through heartbeats, restarts and crashes.

    Explanation:
        Anyone may send a heartbeat, and one may be late. So a heartbeat of
        another incarnation doesn't show that the known one has ended. Only the
        upstream itself does, or its leases: its address belongs to another
        incarnation, its list names a later start, or it refuses connections or
        is silent until all leases have lapsed. Until then the heartbeat is kept
        as that of a possible successor.

    Attributes:
        draining: Whether the agent accepts no more tasks.
        evacuated: Whether the agent's data centre is evacuated.
        report_due: Whether all entries need a new report.
    """

    def __init__(
        self,
        runs: RunTable,
        tracker: UpstreamTracker,
        calls: UpstreamCalls,
        reconciler: RunReconciler,
        outbox: Outbox,
        crash_reporter: CrashReporter,
        stop_calls: StopCalls,
    ) -> None:
        """Shares the state of the agent.

        Args:
            runs: Its runs.
            tracker: The current incarnation.
            calls: Its calls.
            reconciler: Its reconciler.
            outbox: Its outgoing results.
            crash_reporter: Its reports of crashes.
            stop_calls: Its stop calls.
        """
        self.draining = False
        self.evacuated = False
        self.report_due = False
        self._runs = runs
        self._tracker = tracker
        self._calls = calls
        self._reconciler = reconciler
        self._outbox = outbox
        self._crash_reporter = crash_reporter
        self._placed_runs = PlacedRuns(runs, tracker, outbox, stop_calls)
        self._successor = Successor()
        # Newest heartbeat of the incarnation that was reported last.
        self._described: Heartbeat | None = None

    @property
    def has_successor(self) -> bool:
        """Whether another incarnation has sent a heartbeat."""
        return self._successor.event is not None

    @property
    def in_doubt(self) -> bool:
        """Whether calls may reach an incarnation whose list is awaited."""
        known = self._tracker.upstream
        return known is not None and self._successor.may_be_at(known)

    @property
    def ready(self) -> bool:
        """Whether new tasks may start."""
        return (
            self._tracker.accepts_tasks
            and not self._tracker.refuses
            and not self.draining
            and not self.evacuated
        )

    def heartbeat_received(
        self,
        event: HeartbeatReceived,
        effects: list[Effect],
    ) -> bool:
        """Processes a heartbeat; one older than the known one is ignored.

        Returns:
            Whether the known upstream has to be asked if it still runs.
        """
        heartbeat = event.heartbeat
        known = self._tracker.upstream
        if known is None:
            self._begin(event, effects)
            return False
        if not self._tracker.is_newer(heartbeat):
            return False
        if self._tracker.is_described_by(heartbeat):
            self._update(known, event, effects)
            return False
        return self._keep_successor(known, event, effects)

    def deregistered(
        self, event: UpstreamDeregistered, effects: list[Effect]
    ) -> bool:
        """Returns the queued tasks when the upstream announces its shutdown.

        Explanation:
            The call may be a late one of an earlier incarnation with the same
            id, so the runs end only when the upstream is gone.

        Returns:
            Whether the upstream has to be asked if it still runs.
        """
        known = self._tracker.upstream
        if known is None or known.identity.upstream != event.upstream:
            return False
        self._tracker.upstream = replace(known, state=UpstreamState.DRAINING)
        self.report_change(event.now_s, effects)
        return True

    def adopt(
        self,
        identity: UpstreamIdentity,
        effects: list[Effect],
    ) -> bool:
        """Switches to the incarnation of the upstream that has answered.

        Explanation:
            Start calls in flight may be executed by the new incarnation, so
            its next list decides which runs are lost.

        Returns:
            Whether it is another one than the known one.
        """
        known = self._tracker.upstream
        if known is None or not self._tracker.update_incarnation(identity):
            return False
        if self._tracker.answered:
            self._reconciler.crashed = known.identity
        effects.append(
            Record(
                'upstream restarted',
                subject=identity.upstream,
                detail=f'{len(self._runs)} runs to look for',
                logged=True,
            ),
        )
        self._calls.reset()
        successor = self._successor.event
        if successor and self._tracker.is_described_by(successor.heartbeat):
            self._successor.clear()
            self._tracker.upstream = successor.heartbeat
        return True

    def answered(self, identity: UpstreamIdentity, sent_s: float) -> None:
        """Records that an incarnation has listed its runs.

        Args:
            identity: The incarnation.
            sent_s: When the list was requested, by the agent's clock.
        """
        known = self._tracker.upstream
        if known is not None and known.identity == identity:
            self._successor.known_answered(sent_s)

    def refused(self, cause: str, now_s: float, effects: list[Effect]) -> None:
        """Starts no more runs; ends those there once their leases have lapsed.

        Explanation:
            An upstream whose port is closed may go on with its runs.

        Args:
            cause: Short text for logs.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        lapsed = now_s > self._calls.latest_lease_end_s
        if lapsed or not self._runs.at_upstream():
            self.end(cause, now_s, effects)
        elif not self._tracker.refuses:
            self._tracker.refuses = True
            self.report_change(now_s, effects)

    def end(self, cause: str, now_s: float, effects: list[Effect]) -> None:
        """Ends all runs, since the upstream incarnation ended.

        Explanation:
            An upstream that was draining has announced its end; any other one
            has crashed. A possible successor becomes the upstream.

        Args:
            cause: Short text for logs.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        known = self._tracker.upstream
        effects.append(
            Record(
                'upstream gone',
                subject='' if known is None else known.identity.upstream,
                detail=add_runs(
                    f'{cause}, {len(self._runs)} runs', self._runs.all()
                ),
                logged=True,
            ),
        )
        ready = known is not None and known.state is UpstreamState.READY
        if ready and self._tracker.reconciled:
            self._crash_reporter.crashed(
                known.identity,
                self._runs.at_upstream(),
                cause,
                now_s,
                effects,
            )
        self.finish_all(RunEnd.LOST, cause, now_s)
        self._tracker.mark_gone()
        self._calls.renewal_pending = False
        self.report_change(now_s, effects)
        if self._successor.event is not None:
            self._begin(self._successor.event, effects)

    def finish_all(self, end: RunEnd, cause: str, now_s: float) -> None:
        """Ends all runs at the upstream.

        Args:
            end: How those end that are not being stopped.
            cause: Short text for logs.
            now_s: The agent's clock.
        """
        for run in self._runs.at_upstream():
            self._outbox.finish(run, run.end or end, now_s, cause)

    def report_change(self, now_s: float, effects: list[Effect]) -> None:
        """Reports to all entries; returns queued runs that can't start.

        Explanation:
            Each change of the upstream leads here, in whichever way the agent
            learns of it. So no run that was placed on an incarnation stays in
            the queue of the next one.

        Args:
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        returned = self._placed_runs.return_queued(now_s, ready=self.ready)
        self.report_due = True
        self._record_change(returned, effects)

    def stop_misplaced(self, now_s: float, effects: list[Effect]) -> None:
        """Stops runs that began on a successor of another kind."""
        self._placed_runs.stop_misplaced(now_s, effects)

    def find_rejection(self, run: LeasedRun) -> str:
        """Returns why a run may not be queued, empty if it may."""
        return self._placed_runs.find_rejection(run, ready=self.ready)

    def _record_change(
        self, returned: Counter[str], effects: list[Effect]
    ) -> None:
        """Records the kind of a new incarnation and what was returned."""
        known, upstream = self._described, self._tracker.upstream
        if upstream is not None and upstream.sequence != NO_HEARTBEAT:
            self._described = upstream
        if upstream and known and upstream.identity != known.identity:
            effects.append(replaced_record(known, upstream, returned))
        elif returned:
            name = '' if upstream is None else upstream.identity.upstream
            effects.append(returned_record(name, returned))

    def _begin(self, event: HeartbeatReceived, effects: list[Effect]) -> None:
        heartbeat = event.heartbeat
        effects.append(
            Record(
                'upstream announced',
                subject=heartbeat.identity.upstream,
                detail=f'{heartbeat.service} {heartbeat.capacity}',
                logged=True,
            ),
        )
        self._successor.clear()
        self._tracker.track_new(heartbeat)
        self._calls.reset()
        self._calls.next_renewal_s = event.now_s
        self._calls.clock.observe(heartbeat.clock_ms, event.now_s)

    def _update(
        self,
        known: Heartbeat,
        event: HeartbeatReceived,
        effects: list[Effect],
    ) -> None:
        heartbeat = event.heartbeat
        self._tracker.upstream = heartbeat
        successor = self._successor.event
        if successor and successor.heartbeat.identity == heartbeat.identity:
            self._successor.clear()
        if not self._calls.clock.known:
            self._calls.clock.observe(heartbeat.clock_ms, event.now_s)
        if _differs(known, heartbeat):
            self.report_change(event.now_s, effects)
            self.stop_misplaced(event.now_s, effects)

    def _keep_successor(
        self,
        known: Heartbeat,
        event: HeartbeatReceived,
        effects: list[Effect],
    ) -> bool:
        """Keeps a heartbeat that doesn't describe the known upstream.

        Explanation:
            If the known incarnation itself is described in another way twice in
            a row, the first description was wrong.

        Returns:
            Whether the known upstream has to be asked if it still runs.
        """
        heartbeat = event.heartbeat
        earlier = self._successor.event
        self._successor.keep(event)
        if earlier is None or not _is_same(earlier.heartbeat, heartbeat):
            effects.extend(
                (
                    Count('heartbeats', 'unconfirmed'),
                    Record(
                        'heartbeat unconfirmed',
                        subject=heartbeat.identity.upstream,
                        detail=f'{heartbeat.service} {heartbeat.address};'
                        f' {known.identity.upstream} is known',
                        logged=True,
                    ),
                )
            )
        elif (heartbeat.identity, heartbeat.address) == (
            known.identity,
            known.address,
        ) and heartbeat.sequence > earlier.heartbeat.sequence:
            self._update(known, event, effects)
            return False
        return True


def _is_same(one: Heartbeat, other: Heartbeat) -> bool:
    """Whether two heartbeats describe the same incarnation in the same way."""
    return (one.identity, one.service, one.address) == (
        other.identity,
        other.service,
        other.address,
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
