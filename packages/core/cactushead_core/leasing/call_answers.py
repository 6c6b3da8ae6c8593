"""Answers to the start and stop calls of an agent."""

from ..effects import Effect
from ..tasks import RunEnd, TaskRef
from .calls import UpstreamCalls
from .events import StartCallCompleted, StopCallCompleted
from .model import StartAnswer, UpstreamIdentity
from .outbox import Outbox
from .renewals import Renewals
from .runs import LeasedRun, Phase, RunTable, run_record
from .upstream_tracker import UpstreamTracker


class CallAnswers:
    """Applies the answers to the runs that they are about."""

    def __init__(
        self,
        runs: RunTable,
        tracker: UpstreamTracker,
        calls: UpstreamCalls,
        renewals: Renewals,
        outbox: Outbox,
    ) -> None:
        """Shares the state of the agent.

        Args:
            runs: Its runs.
            tracker: The current incarnation of its upstream.
            calls: Its calls.
            renewals: Its renewals.
            outbox: Its outgoing results.
        """
        self._runs = runs
        self._tracker = tracker
        self._calls = calls
        self._renewals = renewals
        self._outbox = outbox

    def start_completed(
        self,
        event: StartCallCompleted,
        effects: list[Effect],
    ) -> None:
        """Processes the result of a start call."""
        run = self._find_run(event.upstream, event.task, event.run)
        if run is None:
            return
        current = self._tracker.is_current(event.upstream)
        if current:
            self._calls.clock.observe(event.clock_ms, event.now_s)
        match event.answer:
            case StartAnswer.STARTED:
                run.started_s = event.now_s
                if run.phase is Phase.STARTING:
                    run.phase = Phase.RUNNING
            case StartAnswer.UNKNOWN:
                self._start_unanswered(run, event, effects)
            case _:
                if event.answer is StartAnswer.FENCED and current:
                    self._calls.raise_token(effects)
                effects.append(run_record('start refused', run, event.cause))
                self._outbox.finish(
                    run, RunEnd.RETURNED, event.now_s, event.cause
                )

    def stop_completed(self, event: StopCallCompleted) -> None:
        """Processes the result of a stop call."""
        run = self._find_run(event.upstream, event.task, event.run)
        if run is None:
            return
        run.stop_pending = False
        if event.confirmed:
            run.stop_confirmed_s = event.now_s

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
        self._renewals.renew_now(event.now_s, effects)

    def _find_run(
        self,
        upstream: UpstreamIdentity,
        task: TaskRef,
        number: int,
    ) -> LeasedRun | None:
        """Returns the run that an answer refers to, if still tracked."""
        if not self._tracker.matches(upstream):
            return None
        run = self._runs.find(task)
        if run is None or run.run != number or run.phase is Phase.QUEUED:
            return None
        return run
