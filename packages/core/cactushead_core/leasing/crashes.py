"""Ends the runs of a crashed upstream and reports what was running."""

from ..effects import Count, Effect, Record
from ..tasks import CrashSuspect, RunEnd, UpstreamCrashed
from .model import UpstreamIdentity
from .outbox import Outbox
from .runs import LeasedRun
from .sessions import Sessions

# Ages are reported in milliseconds.
AGE_DIGITS = 3


class CrashReporter:
    """Reports crashes of the upstream to the entries."""

    def __init__(self, outbox: Outbox, sessions: Sessions) -> None:
        """Shares the outgoing results and the sessions of the agent.

        Args:
            outbox: Its outgoing results.
            sessions: Its sessions with entries.
        """
        self._outbox = outbox
        self._sessions = sessions
        self._silent_since_s: float | None = None
        self._lapsed: list[LeasedRun] = []

    @property
    def silent(self) -> bool:
        """Whether a renewal has failed since the upstream has answered."""
        return self._silent_since_s is not None

    def renewal_failed(self, now_s: float) -> bool:
        """Records a failed renewal.

        Args:
            now_s: The agent's clock.

        Returns:
            Whether it is the first one since the upstream has answered.
        """
        first = self._silent_since_s is None
        if first:
            self._silent_since_s = now_s
        return first

    def leases_lapsed(self, runs: list[LeasedRun]) -> None:
        """Records runs whose leases expired while the upstream was silent.

        Explanation:
            Whether it has crashed isn't known before it answers or restarts.

        Args:
            runs: The runs.
        """
        self._lapsed.extend(runs)

    def answered(self) -> None:
        """Records that the upstream has answered."""
        self._silent_since_s = None
        self._lapsed = []

    def crashed(
        self,
        identity: UpstreamIdentity,
        runs: list[LeasedRun],
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Ends the runs that were at a crashed upstream.

        Explanation:
            All entries are notified, since the caller of a job whose owner
            is lost sends it to another one.

        Args:
            identity: The incarnation that crashed.
            runs: The runs that it had or may have had.
            cause: Short text for logs.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        crashed_s = now_s
        if self._silent_since_s is not None:
            crashed_s = self._silent_since_s
        suspects = find_suspects([*self._lapsed, *runs], crashed_s)
        for run in runs:
            self._outbox.finish(run, run.end or RunEnd.CRASHED, now_s, cause)
        crash = f'{identity.upstream}/{identity.started_ms}'
        self._report(crash, suspects, effects)
        self.answered()

    def run_crashed(
        self,
        identity: UpstreamIdentity,
        run: LeasedRun,
        number: int,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Reports a crash that only the end of a run shows.

        Args:
            identity: The incarnation that lists the end.
            run: The run.
            number: Number of the end.
            now_s: The agent's clock.
            effects: List to which effects are appended.
        """
        crash = f'{identity.upstream}/{identity.started_ms}/{number}'
        self._report(crash, find_suspects([run], now_s), effects)

    def _report(
        self,
        crash: str,
        suspects: tuple[CrashSuspect, ...],
        effects: list[Effect],
    ) -> None:
        ages = ', '.join(
            f'{one.task.job}.{one.task.step}.{one.task.index} {one.age_s} s'
            for one in suspects
        )
        effects.extend(
            (
                Count('upstreams', 'crashed'),
                Record(
                    'upstream crashed',
                    subject=crash,
                    detail=f'suspects {ages}',
                    logged=True,
                ),
            )
        )
        if suspects:
            message = UpstreamCrashed(crash, suspects)
            self._sessions.send_all(message, effects)


def find_suspects(
    runs: list[LeasedRun],
    crashed_s: float,
) -> tuple[CrashSuspect, ...]:
    """Returns the tasks that may have crashed an upstream.

    Args:
        runs: The runs that were at the upstream.
        crashed_s: Time of the first sign of the crash.
    """
    return tuple(
        CrashSuspect(
            run.task,
            round(crashed_s - run.start_sent_s, AGE_DIGITS),
            started=run.started_s > 0,
        )
        for run in runs
        if run.start_sent_s <= crashed_s
    )
