"""Runs of the entries that own them: cancelled jobs and lost entries."""

from ..effects import Effect, Record
from ..events import Peer
from ..tasks import RunEnd
from .runs import LeasedRun, Phase, RunTable
from .stop_calls import StopCalls
from .upstream_tracker import UpstreamTracker


class Owners:
    """Stops the runs of jobs that are cancelled and of entries that are lost.

    Explanation:
        The runs of a disconnected entry continue for a grace period, unless
        the entry connects again in another incarnation.
    """

    def __init__(
        self,
        runs: RunTable,
        tracker: UpstreamTracker,
        stop_calls: StopCalls,
        grace_s: float,
    ) -> None:
        """Shares the state of the agent.

        Args:
            runs: Its runs.
            tracker: The current incarnation of its upstream.
            stop_calls: Its stop calls.
            grace_s: How long the runs of a disconnected entry continue.
        """
        self._runs = runs
        self._tracker = tracker
        self._stop_calls = stop_calls
        self._grace_s = grace_s
        self._lost_until_s: dict[Peer, float] = {}

    def connected(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Keeps the runs of an entry; stops those of earlier incarnations."""
        self._lost_until_s.pop(peer, None)
        for owner in list(self._lost_until_s):
            if owner.name == peer.name:
                self._drop(owner, now_s, effects)

    def disconnected(self, peer: Peer, now_s: float) -> None:
        """Starts the grace period of an entry's runs."""
        if self._runs.of_owner(peer):
            self._lost_until_s[peer] = now_s + self._grace_s

    def cancel_job(
        self,
        owner: Peer,
        job: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Removes queued runs of an owner's job and stops started ones."""
        for run in self._runs.of_owner(owner):
            if run.task.job == job:
                self._cancel(run, 'withdrawn', now_s, effects)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Stops the runs of the entries whose grace period has ended."""
        for owner, until_s in list(self._lost_until_s.items()):
            if now_s >= until_s:
                self._drop(owner, now_s, effects)

    def _drop(
        self,
        owner: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        self._lost_until_s.pop(owner, None)
        runs = self._runs.of_owner(owner)
        effects.append(
            Record(
                'owner lost',
                subject=owner.name,
                detail=f'{len(runs)} runs end',
                logged=True,
            ),
        )
        for run in runs:
            self._cancel(run, 'owner lost', now_s, effects)

    def _cancel(
        self,
        run: LeasedRun,
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if run.phase is Phase.QUEUED:
            self._runs.remove(run)
        else:
            self._stop_calls.mark_stopping(run, RunEnd.STOPPED, cause, now_s)
            self._stop_calls.call_if_due(
                run, self._tracker.upstream, now_s, effects
            )
