"""Which best-effort jobs are refused, and when they may come back."""

from ..effects import Record
from ..tasks import BestEffortJob, JobEnd
from .estimates import RunTimes
from .responses import BestEffortEnded
from .settings import DispatchSettings

# Shortest time after which coming back can find another state of the queues.
LEAST_RETRY_S = 1.0
NOBODY = 'no upstream can run it'


class Admission:
    """Refuses jobs that can't end while their callers have use for them."""

    def __init__(self, settings: DispatchSettings, times: RunTimes) -> None:
        """Starts with the process.

        Args:
            settings: Settings.
            times: Learned run times.
        """
        self.draining = False
        self._settings = settings
        self._times = times
        self._began_s: float | None = None

    def tick(self, now_s: float) -> None:
        """Notes when the process began."""
        if self._began_s is None:
            self._began_s = now_s

    def find_refusal(
        self,
        job: BestEffortJob,
        delay_s: float,
        *,
        lacking: bool,
        now_s: float,
    ) -> BestEffortEnded | None:
        """Returns why a job can't be served in time, None if it can.

        Explanation:
            A process that has just started refuses nothing for the lack of
            upstreams that are about to report.

        Args:
            job: The job.
            delay_s: How much later its last task is expected to end than
                with room at a usual upstream.
            lacking: Whether some task can run nowhere.
            now_s: The process's clock.
        """
        if self.draining and job.objective_s > self._settings.drain_s:
            return _refuse('draining', 0.0)
        if lacking:
            refusal = _refuse(NOBODY, LEAST_RETRY_S)
            return None if self._settles(now_s) else refusal
        critical_path_s = self._times.expected_s(job.queue, job.critical_path_s)
        objective_s = job.slack_factor * critical_path_s + job.latency_s
        limit_s = self._settings.late_factor * objective_s
        if delay_s > 0 and critical_path_s + delay_s > min(
            limit_s, job.caller_timeout_s
        ):
            return _refuse('queues are too long', max(delay_s, LEAST_RETRY_S))
        return None

    def _settles(self, now_s: float) -> bool:
        began_s = now_s if self._began_s is None else self._began_s
        return now_s - began_s < self._settings.settle_s


def refusal_record(job: BestEffortJob, refusal: BestEffortEnded) -> Record:
    """Returns the log line of a refusal."""
    return Record(
        'job refused',
        subject=job.job,
        detail=f'{job.queue}: {refusal.cause}',
        logged=True,
    )


def _refuse(cause: str, retry_s: float) -> BestEffortEnded:
    return BestEffortEnded(JobEnd.REFUSED, cause, retry_s)
