"""Runs of the entries that own them: cancelled jobs and lost entries."""

from ..effects import Effect, Record
from ..events import Peer, ProcessResumed
from ..tasks import RunEnd
from .evidence import add_runs, withdrawn_record
from .ownership import OwnershipTimes
from .runs import LeasedRun, Phase, RunTable
from .sessions import Sessions
from .settings import LeasingSettings
from .stop_calls import StopCalls
from .upstream_tracker import UpstreamTracker


class Owners:
    """Drops the runs of jobs that are cancelled and of entries that are lost.

    Explanation:
        The runs of a disconnected entry continue for a grace period, unless
        the entry connects again in another incarnation.
    """

    def __init__(
        self,
        runs: RunTable,
        tracker: UpstreamTracker,
        stop_calls: StopCalls,
        sessions: Sessions,
        times: OwnershipTimes,
        settings: LeasingSettings,
    ) -> None:
        """Shares the state of the agent.

        Args:
            runs: Its runs.
            tracker: The current incarnation of its upstream.
            stop_calls: Its stop calls.
            sessions: Its sessions with entries.
            times: When the ownership of each owner expires.
            settings: Settings of the agent.
        """
        self._runs = runs
        self._tracker = tracker
        self._stop_calls = stop_calls
        self._sessions = sessions
        self._times = times
        self._settings = settings

    def find_lease_limit_s(self) -> float:
        """Returns when the leases at the upstream have to end, at the latest.

        Explanation:
            The upstream has one lease for all its runs. It must not go on with
            a run that may be started elsewhere, even if the agent is paused or
            its stop calls are lost. So a lease ends soon after the ownership
            of any run, unless the run has ended by then. Queued runs count,
            since they would start under the lease that is granted now.
        """
        limits_s = (
            min(
                run.lease_limit_s,
                self._times.find_expiry_s(run.owner)
                + self._settings.lease_grace_s,
            )
            for run in self._runs.all()
        )
        return min(limits_s, default=float('inf'))

    def turn_ended(self, began_s: float) -> None:
        """Records that messages that had arrived before a turn are handled."""
        self._times.turn_ended(began_s)

    def connected(
        self,
        peer: Peer,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Keeps the runs of an entry; stops those of earlier incarnations."""
        self._times.heard(peer, now_s)
        for owner in self._times:
            if owner.name == peer.name and owner != peer:
                self._times.remove(owner)
                cause = f'restarted as {peer.incarnation}'
                self._drop(owner, cause, now_s, now_s, effects)

    def disconnected(self, peer: Peer, now_s: float) -> None:
        """Starts the grace period of an entry's runs."""
        self._times.disconnected(peer, now_s)

    def offered(self, owner: Peer, now_s: float) -> None:
        """Records that an entry has offered runs."""
        self._times.renew(owner, now_s)

    def heard(self, peer: Peer, now_s: float) -> None:
        """Records that an entry has sent a message."""
        self._times.heard(peer, now_s)

    def resumed(self, event: ProcessResumed) -> None:
        """Records a pause of this process."""
        self._times.resumed(event.paused_s, event.now_s)

    def cancel_job(
        self,
        owner: Peer,
        job: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Removes queued runs of an owner's job and stops started ones."""
        runs = [
            run for run in self._runs.of_owner(owner) if run.task.job == job
        ]
        if runs:
            effects.append(withdrawn_record(owner, job, runs))
        for run in runs:
            # The caller may have left before, and sends the job again.
            expiry_s = min(
                now_s + self._settings.owner_silence_s,
                self._times.find_expiry_s(owner),
            )
            self._cancel(run, 'withdrawn', expiry_s, now_s, effects)

    def expire(self, now_s: float, effects: list[Effect]) -> None:
        """Drops the runs whose owners may have placed them elsewhere.

        Explanation:
            An owner that is still connected gets a new report, so that it
            places the dropped tasks again, and its unread offers don't count.

        Args:
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        for owner, expiry_s in self._times.expire(now_s).items():
            if self._runs.of_owner(owner):
                linked = self._sessions.is_connected(owner)
                cause = 'silent' if linked else 'without a link'
                self._drop(owner, cause, expiry_s, now_s, effects)
                self._sessions.renew(owner)

    def _drop(
        self,
        owner: Peer,
        cause: str,
        expiry_s: float,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        runs = self._runs.of_owner(owner)
        effects.append(
            Record(
                'owner lost',
                subject=owner.name,
                detail=add_runs(f'{len(runs)} runs end; {cause}', runs),
                logged=True,
            ),
        )
        for run in runs:
            self._cancel(run, 'owner lost', expiry_s, now_s, effects)

    def _cancel(
        self,
        run: LeasedRun,
        cause: str,
        expiry_s: float,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        if run.phase is Phase.QUEUED:
            self._runs.remove(run)
        else:
            run.lease_limit_s = min(
                run.lease_limit_s, expiry_s + self._settings.lease_grace_s
            )
            self._stop_calls.mark_stopping(run, RunEnd.STOPPED, cause, now_s)
            self._stop_calls.call_if_due(
                run, self._tracker.upstream, now_s, effects
            )
