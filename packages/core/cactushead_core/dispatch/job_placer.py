"""Placement of the open jobs of an entry."""

from ..effects import Effect
from ..tasks import JobEnd
from .admission import NO_UPSTREAM, Admission, refusal_record
from .job import OpenJob
from .offers import offer_planned
from .open_jobs import OpenJobs
from .planner import PlannedTask, Planner
from .responses import BestEffortEnded

# Number of ticks after a pause of the process by which all connections that
# were closed meanwhile are read.
UNREAD_TICKS = 3


class JobPlacer:
    """Offers the tasks of jobs, or refuses jobs that can't be served.

    Explanation:
        After a pause of the process nothing is placed for some ticks. A caller
        whose request or result is read then may have left during the pause and
        sent its job to another entry. Its connection may be read last.
    """

    def __init__(
        self,
        planner: Planner,
        admission: Admission,
        jobs: OpenJobs,
    ) -> None:
        """Shares the state of the dispatcher.

        Args:
            planner: Plans the tasks of a job.
            admission: Refuses jobs.
            jobs: The open jobs.
        """
        self._planner = planner
        self._admission = admission
        self._jobs = jobs
        self._unread_ticks = 0

    @property
    def deferred(self) -> bool:
        """Whether nothing is placed now."""
        return self._unread_ticks > 0

    def resumed(self) -> None:
        """Defers all placement after a pause of this process."""
        self._unread_ticks = UNREAD_TICKS

    def tick(self) -> None:
        """Counts the ticks after a pause."""
        self._unread_ticks = max(self._unread_ticks - 1, 0)

    def place_new(
        self,
        open_job: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> BestEffortEnded | None:
        """Adds a job and offers its tasks, unless it is refused.

        Args:
            open_job: The job, whose first steps are open.
            now_s: The monotonic clock of the process.
            effects: List to which effects are appended.

        Returns:
            The refusal, None if the job was added.
        """
        if self.deferred:
            self._jobs.add(open_job)
            return None
        plan = self._planner.plan(open_job, now_s)
        refusal = self._find_refusal(open_job, plan, now_s)
        if refusal is not None:
            effects.append(refusal_record(open_job.job, refusal))
            return refusal
        self._jobs.add(open_job)
        effects.extend(offer_planned(open_job, plan, now_s))
        return None

    def place(
        self,
        open_job: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Offers all tasks that are not offered to any agent."""
        if not self.deferred:
            plan = self._planner.plan(open_job, now_s)
            effects.extend(offer_planned(open_job, plan, now_s))

    def retry(
        self,
        open_job: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Places tasks again, or ends a job that can't be served.

        Explanation:
            A job of which nothing has run is refused. Any other one is given up
            once no upstream is suited to it, so that its caller may send it
            again; it would wait until its deadline.
        """
        if self.deferred:
            return
        plan = self._planner.plan(open_job, now_s)
        if open_job.withdrawn:
            refusal = self._find_refusal(open_job, plan, now_s)
            if refusal is not None:
                effects.append(refusal_record(open_job.job, refusal))
                self._jobs.end(open_job, refusal, now_s, effects)
                return
        elif not plan and self._planner.is_hopeless(open_job):
            end = BestEffortEnded(JobEnd.ABANDONED, NO_UPSTREAM)
            self._jobs.end(open_job, end, now_s, effects)
            return
        effects.extend(offer_planned(open_job, plan, now_s))

    def _find_refusal(
        self,
        open_job: OpenJob,
        plan: list[PlannedTask],
        now_s: float,
    ) -> BestEffortEnded | None:
        job = open_job.job
        delay_s = max((planned.delay_s for planned in plan), default=0.0)
        return self._admission.find_refusal(
            job,
            delay_s,
            unplaceable=not self._planner.fits(job),
            now_s=now_s,
        )
