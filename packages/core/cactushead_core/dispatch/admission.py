"""Admission control for best-effort jobs."""

from ..effects import Record
from ..tasks import BestEffortJob, JobEnd
from .estimates import RunTimes
from .responses import BestEffortEnded
from .settings import DispatchSettings

# A retry after less time is unlikely to find the queues changed.
MIN_RETRY_AFTER_S = 1.0
NO_UPSTREAM = 'no upstream can run it'


class Admission:
    """Refuses jobs that are not expected to complete in time."""

    def __init__(self, settings: DispatchSettings, times: RunTimes) -> None:
        """Starts with all jobs admissible.

        Args:
            settings: Settings of the dispatcher.
            times: Estimated run times.
        """
        self.draining = False
        self._settings = settings
        self._times = times
        self._started_s: float | None = None

    def tick(self, now_s: float) -> None:
        """Records the time of the first tick as the start of the process.

        Args:
            now_s: The monotonic clock of the process.
        """
        if self._started_s is None:
            self._started_s = now_s

    def find_refusal(
        self,
        job: BestEffortJob,
        delay_s: float,
        *,
        unplaceable: bool,
        now_s: float,
    ) -> BestEffortEnded | None:
        """Returns the refusal of a job, None if the job is admitted.

        Explanation:
            During the grace period after its start, the process doesn't
            refuse jobs for which no upstream is known, because upstreams may
            not have reported yet.

        Args:
            job: The job.
            delay_s: Expected delay of the last task to complete, relative to
                an average upstream with free capacity.
            unplaceable: Whether no upstream can run some task of the job.
            now_s: The monotonic clock of the process.
        """
        if self.draining and job.objective_s > self._settings.drain_s:
            return _refuse('draining', 0.0)
        if unplaceable:
            refusal = _refuse(NO_UPSTREAM, MIN_RETRY_AFTER_S)
            return None if self._is_starting_up(now_s) else refusal
        critical_path_s = self._times.expected_s(job.queue, job.critical_path_s)
        objective_s = job.slack_factor * critical_path_s + job.latency_s
        limit_s = self._settings.max_lateness_factor * objective_s
        if delay_s > 0 and critical_path_s + delay_s > min(
            limit_s, job.caller_timeout_s
        ):
            return _refuse(
                'queues are too long', max(delay_s, MIN_RETRY_AFTER_S)
            )
        return None

    def _is_starting_up(self, now_s: float) -> bool:
        started_s = now_s if self._started_s is None else self._started_s
        return now_s - started_s < self._settings.startup_grace_s


def refusal_record(job: BestEffortJob, refusal: BestEffortEnded) -> Record:
    """Returns the time line event that records a refusal.

    Args:
        job: The refused job.
        refusal: The refusal.
    """
    return Record(
        'job refused',
        subject=job.job,
        detail=f'{job.queue}: {refusal.cause}',
        logged=True,
    )


def _refuse(cause: str, retry_after_s: float) -> BestEffortEnded:
    return BestEffortEnded(JobEnd.REFUSED, cause, retry_after_s)
