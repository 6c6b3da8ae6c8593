"""Renewals of the leases at an agent's upstream, and their answers."""

from ..effects import Effect, Record
from ..tasks import RunEnd
from .calls import UpstreamCalls
from .crashes import CrashReporter
from .events import LeasesRenewed, RenewalFailed
from .incarnations import Incarnations
from .reconciler import RunReconciler
from .runs import RunTable
from .settings import LeasingSettings
from .upstream_tracker import UpstreamTracker


class Renewals:
    """Renews all leases at intervals; each answer lists the runs."""

    def __init__(
        self,
        settings: LeasingSettings,
        runs: RunTable,
        tracker: UpstreamTracker,
        calls: UpstreamCalls,
        reconciler: RunReconciler,
        incarnations: Incarnations,
        crash_reporter: CrashReporter,
    ) -> None:
        """Shares the state of the agent.

        Args:
            settings: Its settings.
            runs: Its runs.
            tracker: The current incarnation of its upstream.
            calls: Its calls.
            reconciler: Its reconciler.
            incarnations: What ends incarnations.
            crash_reporter: Its reports of crashes.
        """
        self._settings = settings
        self._runs = runs
        self._tracker = tracker
        self._calls = calls
        self._reconciler = reconciler
        self._incarnations = incarnations
        self._crash_reporter = crash_reporter

    @property
    def quiet(self) -> bool:
        """Whether nothing runs, waits or has to be found out."""
        return (
            not len(self._runs)
            and self._tracker.reconciled
            and not self._calls.has_unknown_runs
        )

    @property
    def _may_have_restarted(self) -> bool:
        """Whether a call or a heartbeat suggests another incarnation."""
        return (
            self._tracker.refuses
            or self._crash_reporter.silent
            or self._incarnations.in_doubt
        )

    def answered(self, event: LeasesRenewed, effects: list[Effect]) -> None:
        """Reconciles the agent's runs with the upstream's lists."""
        self._calls.renewal_pending = False
        if not self._tracker.matches(event.upstream):
            return
        adopted = self._incarnations.adopt(event.upstream, effects)
        if adopted:
            self._incarnations.report_change(event.now_s, effects)
        self._tracker.answered = True
        self._incarnations.answered(event.upstream, event.sent_s)
        if self._tracker.refuses:
            self._tracker.refuses = False
            self._incarnations.report_change(event.now_s, effects)
        if self._reconciler.crashed is None:
            self._crash_reporter.answered()
        self._calls.clock.observe(event.clock_ms, event.now_s)
        acknowledged = self._calls.acknowledged
        self._reconciler.reconcile(event, self._tracker.upstream, effects)
        if acknowledged == self._calls.acknowledged:
            # Nothing new ended: keeps a minimum interval between renewals in
            # case the upstream answers without waiting.
            interval_s = (
                self._settings.idle_list_interval_s
                if self.quiet and not self._calls.listed
                else self._settings.min_renewal_interval_s
            )
            self._calls.next_renewal_s = max(
                event.sent_s + interval_s, event.now_s
            )
        if adopted:
            self._incarnations.stop_misplaced(event.now_s, effects)
            # The sooner it has the new token, the fewer late calls it executes.
            self._calls.next_renewal_s = event.now_s
        if not self._tracker.reconciled and not self._calls.has_unknown_runs:
            self._tracker.reconciled = True
            self._incarnations.report_change(event.now_s, effects)
        self.renew_if_due(event.now_s, effects)

    def failed(self, event: RenewalFailed, effects: list[Effect]) -> None:
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
        if event.fenced and self._tracker.is_current(event.upstream):
            self._calls.raise_token(effects)
        if not event.sent:
            self._calls.renewal_not_sent()
        # The first retry is immediate, since the connection may have been
        # closed by a crash.
        first = self._crash_reporter.renewal_failed(event.now_s)
        pause_s = 0.0 if first else self._settings.retry_s
        self._calls.next_renewal_s = event.now_s + pause_s
        if event.replaced:
            self._incarnations.end(event.cause, event.now_s, effects)
        elif event.refused:
            self._incarnations.refused(event.cause, event.now_s, effects)
        elif event.now_s > self._calls.latest_lease_end_s:
            self._leases_lapsed(event.now_s, effects, first=first)
        self.renew_if_due(event.now_s, effects)

    def renew_now(self, now_s: float, effects: list[Effect]) -> None:
        """Renews the leases without waiting for the end of the interval."""
        self._calls.next_renewal_s = min(self._calls.next_renewal_s, now_s)
        self.renew_if_due(now_s, effects)

    def renew_if_due(self, now_s: float, effects: list[Effect]) -> None:
        """Renews the leases unless a renewal is pending or not due."""
        calls = self._calls
        upstream = self._tracker.upstream
        if upstream is None or calls.renewal_pending:
            return
        if now_s >= calls.next_renewal_s:
            waits = self._tracker.reconciled and not self.quiet
            if self._may_have_restarted:
                # The list shows it, so it is requested without a wait.
                waits = False
            wait_s = self._settings.renew_wait_s if waits else 0.0
            renewal = calls.renew(
                upstream,
                now_s,
                idle=not self._runs.at_upstream(),
                wait_s=wait_s,
            )
            effects.append(renewal)

    def _leases_lapsed(
        self, now_s: float, effects: list[Effect], *, first: bool
    ) -> None:
        """Ends the runs of a silent upstream; follows its successor."""
        self._crash_reporter.leases_lapsed(self._runs.at_upstream())
        self._incarnations.finish_all(
            RunEnd.LEASE_EXPIRED, 'lease lapsed', now_s
        )
        if self._incarnations.has_successor and not first:
            self._incarnations.end('silent', now_s, effects)
