"""Compares the runs at an agent with the upstream that they were placed on."""

from collections import Counter

from ..effects import Effect
from ..events import Peer
from ..tasks import OfferTasks, RunEnd, TaskRef, TaskRun
from .model import PlacementBasis
from .outbox import Outbox
from .runs import LeasedRun, RunTable
from .stop_calls import StopCalls
from .upstream_tracker import NO_HEARTBEAT, UpstreamTracker

NOT_READY = 'upstream takes no tasks'
OTHER_UPSTREAM = 'offered for an upstream that was replaced'
TOO_LARGE = 'larger than the upstream'


class PlacedRuns:
    """Returns or stops runs that were placed on another upstream.

    Explanation:
        An entry places a task by what the agent has reported of its upstream,
        and the agent can't judge the task anew. So a run starts only on the
        incarnation, service and labels of that report.
    """

    def __init__(
        self,
        runs: RunTable,
        tracker: UpstreamTracker,
        outbox: Outbox,
        stop_calls: StopCalls,
    ) -> None:
        """Shares the state of the agent.

        Args:
            runs: Its runs.
            tracker: The current incarnation of its upstream.
            outbox: Its outgoing results.
            stop_calls: Its stop calls.
        """
        self._runs = runs
        self._tracker = tracker
        self._outbox = outbox
        self._stop_calls = stop_calls

    def find_rejection(self, run: LeasedRun, *, ready: bool) -> str:
        """Returns why a run may not be queued, empty if it may.

        Args:
            run: The run.
            ready: Whether new tasks may start.
        """
        upstream = self._tracker.upstream
        if upstream is None or not ready:
            return NOT_READY
        if run.basis != upstream.basis:
            return OTHER_UPSTREAM
        return '' if upstream.capacity.can_fit(run.needs) else TOO_LARGE

    def return_queued(self, now_s: float, *, ready: bool) -> Counter[str]:
        """Returns the queued runs that may not be queued to their entries.

        Args:
            now_s: The agent's clock.
            ready: Whether new tasks may start.

        Returns:
            Their number by cause.
        """
        returned: Counter[str] = Counter()
        for run in self._runs.queued():
            cause = self.find_rejection(run, ready=ready)
            if cause:
                returned[cause] += 1
                self._outbox.finish(run, RunEnd.RETURNED, now_s, cause)
        return returned

    def stop_misplaced(self, now_s: float, effects: list[Effect]) -> None:
        """Stops runs that began on a successor of another kind.

        Explanation:
            A start call that was made before the agent knew of the successor
            is carried out there. The runs of the earlier incarnation have been
            ended by then, since the first list doesn't contain them.

        Args:
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        upstream = self._tracker.upstream
        if upstream is None or upstream.sequence == NO_HEARTBEAT:
            return
        for run in self._runs.at_upstream():
            if run.basis is None or run.basis.is_same_kind(upstream.basis):
                continue
            if run.basis.identity != upstream.identity:
                self._stop_calls.mark_stopping(
                    run, RunEnd.STOPPED, OTHER_UPSTREAM, now_s
                )
                self._stop_calls.call_if_due(run, upstream, now_s, effects)


def make_run(
    sender: Peer,
    offer: OfferTasks,
    task_run: TaskRun,
    basis: PlacementBasis | None,
    now_s: float,
) -> LeasedRun:
    """Returns the run of an offered task.

    Args:
        sender: The entry.
        offer: Its offer.
        task_run: One run of the offer.
        basis: What the entry was told last of the upstream.
        now_s: The agent's clock.
    """
    return LeasedRun(
        sender,
        TaskRef(offer.job, offer.step, task_run.index),
        task_run.run,
        offer.needs,
        offer.payload,
        now_s + offer.slack_s,
        offer.expected_s,
        offer.may_wait,
        session=offer.session,
        basis=basis,
    )
