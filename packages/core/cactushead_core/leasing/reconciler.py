"""Reconciles an agent's runs with the lists of its upstream."""

from ..effects import Effect, Measure
from ..tasks import RunEnd
from .calls import UpstreamCalls
from .crashes import CrashReporter
from .events import LeasesRenewed
from .model import EndRow, Heartbeat, UpstreamIdentity
from .outbox import Outbox
from .progress import find_stalled
from .runs import LeasedRun, Phase, RunTable, run_record
from .stop_calls import StopCalls

# Weight of the newest run in the exponential moving average of the run time,
# which corresponds to about the last ten runs.
MEAN_RUN_WEIGHT = 0.1


class RunReconciler:
    """Processes the lists in the answer to each renewal.

    Attributes:
        mean_run_s: Exponential moving average of the run time.
        crashed: Incarnation after which the upstream restarted under the same
            id, until a list shows which of its runs are gone.
    """

    def __init__(
        self,
        runs: RunTable,
        calls: UpstreamCalls,
        stop_calls: StopCalls,
        outbox: Outbox,
        crash_reporter: CrashReporter,
    ) -> None:
        """Initializes the average; the arguments are shared with the agent.

        Args:
            runs: Its runs.
            calls: Its calls.
            stop_calls: Its stop calls.
            outbox: Its outgoing results.
            crash_reporter: Its reports of crashes.
        """
        self.mean_run_s = 0.0
        self.crashed: UpstreamIdentity | None = None
        self._runs = runs
        self._calls = calls
        self._stop_calls = stop_calls
        self._outbox = outbox
        self._crash_reporter = crash_reporter

    def reconcile(
        self,
        event: LeasesRenewed,
        upstream: Heartbeat | None,
        effects: list[Effect],
    ) -> None:
        """Ends runs that ended or are missing and stops unexpected ones.

        Args:
            event: Answer with the lists.
            upstream: The upstream.
            effects: List to which effects are appended.
        """
        numbers = [ended.number for ended in event.ended]
        self._calls.listed = max(numbers, default=0)
        for row in event.ended:
            self._process_end(row, event, effects)
        if self.crashed is not None:
            self._end_crashed(self.crashed, event, effects)
        self._compare_running(event, upstream, effects)
        self._stop_calls.call_all_due(
            self._runs, upstream, event.now_s, effects
        )
        self._stop_stalled(event, upstream, effects)

    def _end_crashed(
        self,
        crashed: UpstreamIdentity,
        event: LeasesRenewed,
        effects: list[Effect],
    ) -> None:
        """Ends the runs that the crashed incarnation had started.

        Explanation:
            A start call that was not answered may still reach the new one.
        """
        self.crashed = None
        listed = {(row.task, row.run) for row in event.running}
        gone = [
            run
            for run in self._runs.at_upstream()
            if run.phase is Phase.RUNNING
            and run.started_s < event.sent_s
            and (run.task, run.run) not in listed
        ]
        self._crash_reporter.crashed(
            crashed, gone, 'upstream restarted', event.now_s, effects
        )

    def _process_end(
        self,
        row: EndRow,
        event: LeasesRenewed,
        effects: list[Effect],
    ) -> None:
        if row.number <= self._calls.acknowledged:
            return
        self._calls.acknowledged = row.number
        run = self._runs.find(row.task)
        if run is None or run.run != row.run or run.phase is Phase.QUEUED:
            return
        now_s = event.now_s
        end = row.end
        if end is RunEnd.CRASHED:
            self._crash_reporter.run_crashed(
                event.upstream, run, row.number, now_s, effects
            )
        if end is RunEnd.STOPPED and run.end is not None:
            end = run.end
        if end is RunEnd.DONE:
            ran_s = now_s - run.start_sent_s
            effects.append(Measure('run_s', ran_s))
            self.mean_run_s += MEAN_RUN_WEIGHT * (ran_s - self.mean_run_s)
        self._outbox.finish(run, end, now_s, run.cause, 'its end is listed')

    def _compare_running(
        self,
        event: LeasesRenewed,
        upstream: Heartbeat | None,
        effects: list[Effect],
    ) -> None:
        """Compares the listed runs with the expected ones."""
        listed = {(row.task, row.run) for row in event.running}
        expected = set()
        for run in self._runs.at_upstream():
            key = (run.task, run.run)
            expected.add(key)
            if key not in listed:
                self._handle_missing(run, event.sent_s, event.now_s, effects)
            elif run.phase is Phase.STARTING and run.unanswered_s:
                run.phase = Phase.RUNNING
                run.started_s = run.unanswered_s
                effects.append(run_record('start confirmed', run, 'listed'))
        if upstream is not None:
            self._calls.stop_unknown_runs(
                listed - expected,
                upstream,
                event.now_s,
                effects,
            )

    def _handle_missing(
        self,
        run: LeasedRun,
        sent_s: float,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Ends a run that is listed as neither running nor ended."""
        if run.phase is Phase.RUNNING and run.started_s < sent_s:
            effects.append(run_record('run lost', run, 'not listed'))
            self._outbox.finish(run, RunEnd.LOST, now_s, 'not listed')
        elif run.phase is Phase.STARTING and 0 < run.unanswered_s < sent_s:
            self._stop_calls.mark_stopping(run, None, 'not started', now_s)
        elif run.phase is Phase.STOPPING and 0 < run.stop_confirmed_s < sent_s:
            end = run.end or RunEnd.LOST
            self._outbox.finish(run, end, now_s, run.cause, 'not listed')

    def _stop_stalled(
        self,
        event: LeasesRenewed,
        upstream: Heartbeat | None,
        effects: list[Effect],
    ) -> None:
        """Stops runs without progress and returns queued ones to entries."""
        now_s = event.now_s
        stalled = find_stalled(self._runs, event.running, event.clock_ms)
        for run in stalled:
            cause = f'stands at {run.percent} %'
            effects.append(run_record('run stalled', run, cause))
            self._stop_calls.mark_stopping(run, RunEnd.STALLED, cause, now_s)
            self._stop_calls.call_if_due(run, upstream, now_s, effects)
        if stalled:
            for run in self._runs.queued():
                cause = 'runs stand still at the upstream'
                self._outbox.finish(run, RunEnd.RETURNED, now_s, cause)
