"""Begins and ends incarnations of an agent's upstream."""

from ..effects import Effect, Record
from ..tasks import RunEnd
from .calls import UpstreamCalls
from .crashes import CrashReporter
from .events import HeartbeatReceived, UpstreamDeregistered
from .model import Heartbeat, UpstreamIdentity, UpstreamState
from .outbox import Outbox
from .reconciler import RunReconciler
from .runs import RunTable
from .upstream_tracker import NO_HEARTBEAT, UpstreamTracker

TOO_LARGE = 'larger than the upstream'


class Incarnations:
    """Follows the upstream through heartbeats, restarts and crashes.

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
    ) -> None:
        """Shares the state of the agent.

        Args:
            runs: Its runs.
            tracker: The current incarnation.
            calls: Its calls.
            reconciler: Its reconciler.
            outbox: Its outgoing results.
            crash_reporter: Its reports of crashes.
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

    @property
    def ready(self) -> bool:
        """Whether new tasks may start."""
        return (
            self._tracker.accepts_tasks
            and not self.draining
            and not self.evacuated
        )

    def heartbeat_received(
        self,
        event: HeartbeatReceived,
        effects: list[Effect],
    ) -> None:
        """Processes a heartbeat; one older than the known one is ignored."""
        heartbeat = event.heartbeat
        known = self._tracker.upstream
        if not self._tracker.is_newer(heartbeat):
            return
        if known is None or known.identity != heartbeat.identity:
            self._begin(heartbeat, event.now_s, effects)
        self._tracker.upstream = heartbeat
        if not self._calls.clock.known:
            self._calls.clock.observe(heartbeat.clock_ms, event.now_s)
        if known is not None and _differs(known, heartbeat):
            for run in self._runs.oversized(heartbeat.capacity):
                self._outbox.finish(
                    run, RunEnd.RETURNED, event.now_s, TOO_LARGE
                )
            self.report_change(event.now_s)

    def deregistered(
        self, event: UpstreamDeregistered, effects: list[Effect]
    ) -> None:
        """Ends all runs when the upstream announces its shutdown."""
        if self._is_current(event.upstream):
            self.end('upstream left', event.now_s, effects, crashed=False)

    def adopt(
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
        known = self._tracker.upstream
        if known is None or not self._tracker.update_incarnation(identity):
            return False
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
        return True

    def end(
        self,
        cause: str,
        now_s: float,
        effects: list[Effect],
        *,
        crashed: bool = True,
    ) -> None:
        """Ends all runs, since the upstream incarnation ended.

        Args:
            cause: Short text for logs.
            now_s: The agent's clock.
            effects: List to which effects are appended.
            crashed: Whether the upstream did not announce its end; one that
                was draining has announced it.
        """
        known = self._tracker.upstream
        effects.append(
            Record(
                'upstream gone',
                subject='' if known is None else known.identity.upstream,
                detail=f'{cause}, {len(self._runs)} runs',
                logged=True,
            ),
        )
        if known is not None and known.state is UpstreamState.READY and crashed:
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
        self.report_change(now_s)

    def finish_all(self, end: RunEnd, cause: str, now_s: float) -> None:
        """Ends all runs at the upstream.

        Args:
            end: How those end that are not being stopped.
            cause: Short text for logs.
            now_s: The agent's clock.
        """
        for run in self._runs.at_upstream():
            self._outbox.finish(run, run.end or end, now_s, cause)

    def report_change(self, now_s: float) -> None:
        """Reports to all entries; returns queued runs that can't start."""
        if not self.ready:
            for run in self._runs.queued():
                self._outbox.finish(run, RunEnd.RETURNED, now_s, 'not ready')
        self.report_due = True

    def _begin(
        self,
        heartbeat: Heartbeat,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if self._tracker.matches(heartbeat.identity):
            self.adopt(heartbeat.identity, effects)
            return
        if self._tracker.upstream is not None:
            self.end('another upstream', now_s, effects)
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

    def _is_current(self, upstream: str) -> bool:
        known = self._tracker.upstream
        return known is not None and known.identity.upstream == upstream


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
