"""Gives up the jobs that crash their upstreams."""

from collections.abc import Callable, Iterable

from ..effects import Effect, Record, Send
from ..tasks import CrashingJobFound, JobEnd, UpstreamCrashed
from .containment import CrashContainment
from .job import OpenJob
from .open_jobs import OpenJobs
from .responses import BestEffortEnded

_CAUSE = 'upstreams crashed under it'


class CrashingJobs:
    """Ends open jobs by the crashes that agents and entries report."""

    def __init__(
        self,
        open_jobs: OpenJobs,
        containment: CrashContainment,
        find_entries: Callable[[], Iterable[str]],
    ) -> None:
        """Shares the state of the dispatcher.

        Args:
            open_jobs: Its open jobs.
            containment: Crashes by task, and confined queues.
            find_entries: Returns the names of the connected entries.
        """
        self._open_jobs = open_jobs
        self._containment = containment
        self._find_entries = find_entries

    def upstream_crashed(
        self,
        report: UpstreamCrashed,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Gives up the jobs under which too many upstreams crashed.

        Args:
            report: The crash and the tasks that may be the cause.
            now_s: The monotonic clock of the process.
            effects: List to which effects are appended.
        """
        self._containment.upstream_crashed(report, now_s)
        for job in sorted({suspect.task.job for suspect in report.suspects}):
            open_job = self._open_jobs.find(job)
            if open_job is not None and self._containment.is_crashing(job):
                self.give_up(open_job, now_s, effects)

    def found_elsewhere(
        self,
        message: CrashingJobFound,
        now_s: float,
        effects: list[Effect],
    ) -> bool:
        """Records a job that another entry gave up, and ends it here.

        Args:
            message: The job and its crashes.
            now_s: The monotonic clock of the process.
            effects: List to which effects are appended.

        Returns:
            Whether it was not known.
        """
        if self._open_jobs.find_end(message.job) is JobEnd.FAILED:
            return False
        self._containment.crashing_job_found(message, now_s)
        open_job = self._open_jobs.find(message.job)
        if open_job is None:
            self._open_jobs.add_end(message.job, JobEnd.FAILED, now_s)
        else:
            self._fail(open_job, now_s, effects)
        return True

    def give_up(
        self,
        open_job: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Fails a job that crashes its upstreams and notifies all entries.

        Args:
            open_job: The job.
            now_s: The monotonic clock of the process.
            effects: List to which effects are appended.
        """
        job = open_job.job
        found = self._containment.job_given_up(job.job, job.queue, now_s)
        effects.append(
            Record(
                'crashing job',
                subject=job.job,
                detail=f'{job.queue}: {len(found.crashes)} crashes',
                logged=True,
            ),
        )
        effects.extend(Send(name, found) for name in self._find_entries())
        self._fail(open_job, now_s, effects)

    def _fail(
        self,
        open_job: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        end = BestEffortEnded(JobEnd.FAILED, _CAUSE)
        self._open_jobs.end(open_job, end, now_s, effects)
