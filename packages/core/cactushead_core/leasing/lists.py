"""What an upstream's lists of runs and ends say about an agent's runs."""

from ..effects import Effect, Measure
from ..tasks import RunEnd
from .calls import UpstreamCalls
from .events import LeasesRenewed
from .model import Announcement, EndRow
from .outbox import Outbox
from .progress import find_standing
from .runs import LeasedRun, Phase, RunTable, note
from .stops import Stops

# Weight of the newest run in the mean run time: about the last ten count.
TYPICAL_WEIGHT = 0.1


class RunLists:
    """Takes the lists that come with each renewal.

    Attributes:
        typical_s: Mean run time of late.
    """

    def __init__(
        self,
        runs: RunTable,
        calls: UpstreamCalls,
        stops: Stops,
        outbox: Outbox,
    ) -> None:
        """Shares the parts of an agent.

        Args:
            runs: Its runs.
            calls: Its calls.
            stops: Its stops.
            outbox: Its results.
        """
        self.typical_s = 0.0
        self._runs = runs
        self._calls = calls
        self._stops = stops
        self._outbox = outbox

    def take(
        self,
        event: LeasesRenewed,
        upstream: Announcement | None,
        effects: list[Effect],
    ) -> None:
        """Ends what ended or is gone, and stops what shouldn't run.

        Args:
            event: The lists.
            upstream: The upstream.
            effects: Where effects are added.
        """
        for row in event.ended:
            self._take_end(row, event.now_s, effects)
        self._compare(event, upstream, effects)
        self._stop_standing(event, upstream, effects)

    def _take_end(
        self,
        row: EndRow,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if row.number <= self._calls.acknowledged:
            return
        self._calls.acknowledged = row.number
        run = self._runs.find(row.task)
        if run is None or run.run != row.run or run.phase is Phase.QUEUED:
            return
        end = row.end
        if end is RunEnd.STOPPED and run.end is not None:
            end = run.end
        if end is RunEnd.DONE:
            ran_s = now_s - run.began_s
            effects.append(Measure('run_s', ran_s))
            self.typical_s += TYPICAL_WEIGHT * (ran_s - self.typical_s)
        self._outbox.finish(run, end, now_s, run.cause)

    def _compare(
        self,
        event: LeasesRenewed,
        upstream: Announcement | None,
        effects: list[Effect],
    ) -> None:
        """Compares the listed runs with those that should be there."""
        listed = {(row.task, row.run) for row in event.running}
        expected = set()
        for run in self._runs.at_upstream():
            key = (run.task, run.run)
            expected.add(key)
            if key not in listed:
                self._take_absence(run, event.sent_s, event.now_s, effects)
        if upstream is not None:
            self._calls.stop_strangers(
                listed - expected,
                upstream,
                event.now_s,
                effects,
            )

    def _take_absence(
        self,
        run: LeasedRun,
        sent_s: float,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Ends a run that a list shows neither running nor ended."""
        if run.phase is Phase.RUNNING and run.answered_s < sent_s:
            effects.append(note('run lost', run, 'not listed'))
            self._outbox.finish(run, RunEnd.LOST, now_s, 'not listed')
        elif run.phase is Phase.STOPPING and 0 < run.stopped_s < sent_s:
            self._outbox.finish(run, run.end or RunEnd.LOST, now_s, run.cause)

    def _stop_standing(
        self,
        event: LeasesRenewed,
        upstream: Announcement | None,
        effects: list[Effect],
    ) -> None:
        """Stops runs without progress; what is queued goes elsewhere."""
        now_s = event.now_s
        standing = find_standing(self._runs, event.running, event.clock_ms)
        for run in standing:
            cause = f'stands at {run.percent} %'
            effects.append(note('run stalled', run, cause))
            self._stops.begin(run, RunEnd.STALLED, cause, now_s)
            self._stops.repeat(run, upstream, now_s, effects)
        if standing:
            for run in self._runs.queued():
                cause = 'runs stand still at the upstream'
                self._outbox.finish(run, RunEnd.RETURNED, now_s, cause)
