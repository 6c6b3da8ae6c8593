"""Stop calls, repeated until the upstream confirms them."""

from ..effects import Effect
from ..tasks import RunEnd
from .calls import UpstreamCalls
from .model import Heartbeat
from .runs import LeasedRun, Phase, RunTable

# A renewal takes at most this long if none of its answers is lost.
CONFIRMATION_S = 0.4


class StopCalls:
    """Marks runs for stopping and issues their stop calls."""

    def __init__(self, calls: UpstreamCalls, retry_s: float) -> None:
        """Initializes the stop calls.

        Args:
            calls: Builder of the calls.
            retry_s: Interval after which an unconfirmed stop is repeated.
        """
        self._calls = calls
        self._retry_s = retry_s

    def mark_stopping(
        self,
        run: LeasedRun,
        end: RunEnd | None,
        cause: str,
        now_s: float,
    ) -> None:
        """Marks a run as stopping; `call_if_due` makes the call.

        Args:
            run: The run.
            end: End reported to its owner; None to report the end that the
                upstream lists.
            cause: Reason, for logs.
            now_s: The agent's clock.
        """
        if run.phase is Phase.STOPPING:
            return
        run.phase = Phase.STOPPING
        run.cause = cause
        run.end = end
        run.stop_due_s = now_s
        run.stop_asked_s = now_s

    def call_if_due(
        self,
        run: LeasedRun,
        upstream: Heartbeat | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Makes the stop call of a run if one is due.

        Args:
            run: A run that is stopping.
            upstream: The upstream, None if there is none.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        if run.stop_pending or run.stop_confirmed_s or now_s < run.stop_due_s:
            return
        if upstream is None:
            return
        run.stop_pending = True
        run.stop_due_s = now_s + self._retry_s
        effects.append(self._calls.stop(run.task, run.run, upstream))

    def stop_unconfirmed(self, runs: RunTable, now_s: float) -> None:
        """Marks runs that no list has confirmed in time for stopping.

        Args:
            runs: The agent's runs.
            now_s: The agent's clock.
        """
        for run in runs.at_upstream():
            if (
                run.phase is Phase.STARTING
                and run.unanswered_s
                and now_s - run.unanswered_s >= CONFIRMATION_S
            ):
                self.mark_stopping(run, None, 'start unconfirmed', now_s)

    def call_all_due(
        self,
        runs: RunTable,
        upstream: Heartbeat | None,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Makes all stop calls that are due."""
        for run in runs.at_upstream():
            if run.phase is Phase.STOPPING:
                self.call_if_due(run, upstream, now_s, effects)
