"""The open jobs of an entry and the final states of recent ones."""

from collections.abc import Iterator, Mapping

from ..effects import Count, Effect, Respond, Send
from ..tasks import CancelBestEffortJob, JobEnd, JobPhase, TaskRef
from .agent_view import AgentView
from .evidence import given_up_record
from .job import OpenJob, OpenTask
from .recent import RecentJobEnds, RecentRuns
from .responses import BestEffortEnded


class OpenJobs:
    """Jobs by id, from their admission to the answer to their callers."""

    def __init__(
        self,
        views: Mapping[str, AgentView],
        retention_s: float,
    ) -> None:
        """Starts without jobs.

        Args:
            views: The agents by name, updated by the dispatcher.
            retention_s: How long a final state is kept.
        """
        self._views = views
        self._jobs: dict[str, OpenJob] = {}
        self._recent = RecentJobEnds(retention_s)
        self._recent_runs = RecentRuns(retention_s)

    def __len__(self) -> int:
        """Returns the number of open jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[OpenJob]:
        """Iterates over the jobs that are open now; any may end meanwhile."""
        return iter(list(self._jobs.values()))

    def find(self, job: str) -> OpenJob | None:
        """Returns an open job, None if it is not open.

        Args:
            job: Id of the job.
        """
        return self._jobs.get(job)

    def find_end(self, job: str) -> JobEnd | None:
        """Returns the final state of a recent job, None if unknown.

        Args:
            job: Id of the job.
        """
        return self._recent.find(job)

    def find_earlier_runs(self, job: str) -> int:
        """Returns the highest run number of a recent job, 0 if unknown.

        Args:
            job: Id of the job.
        """
        return self._recent_runs.find(job)

    def find_task(
        self,
        view: AgentView,
        ref: TaskRef,
    ) -> tuple[OpenJob | None, OpenTask | None]:
        """Returns the job of a task, and the task if an agent has it.

        Args:
            view: The agent.
            ref: The task.
        """
        open_job = self._jobs.get(ref.job)
        task = None if open_job is None else open_job.tasks.get(ref)
        if task is not None and task.agent != view.name:
            task = None
        return open_job, task

    def state(self, job: str) -> JobPhase | JobEnd | None:
        """Returns the phase or final state of a job, None if unknown.

        Args:
            job: Id of the job.
        """
        open_job = self._jobs.get(job)
        if open_job is None:
            return self._recent.find(job)
        return JobPhase.RUNNING if open_job.offered else JobPhase.QUEUED

    def pending(self, queue: str) -> int:
        """Returns the number of jobs of a queue without any offer yet.

        Args:
            queue: Name of the queue.
        """
        return sum(
            open_job.job.queue == queue and not open_job.offered
            for open_job in self._jobs.values()
        )

    def add(self, open_job: OpenJob) -> None:
        """Adds an admitted job."""
        self._jobs[open_job.job.job] = open_job

    def add_end(self, job: str, end: JobEnd, now_s: float) -> None:
        """Adds the final state of a job that is not open here.

        Args:
            job: Id of the job.
            end: Its final state.
            now_s: The monotonic clock of the process.
        """
        self._recent.add(job, end, now_s)

    def end(
        self,
        open_job: OpenJob,
        end: BestEffortEnded,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Answers the callers and cancels the remaining tasks of a job.

        Args:
            open_job: The job.
            end: Its final state.
            now_s: The monotonic clock of the process.
            effects: List to which effects are appended.
        """
        job = open_job.job.job
        self._jobs.pop(job)
        agents = open_job.agents()
        if agents:
            effects.append(Count('stopped_jobs', end.cause))
            effects.append(given_up_record(open_job, end.cause, now_s))
        for agent in agents:
            effects.append(Send(agent, CancelBestEffortJob(job)))
        for task in open_job.tasks.values():
            if task.agent in self._views:
                self._views[task.agent].tasks.discard(task.ref)
        effects.append(Count('jobs', end.end.value))
        effects.extend(
            Respond(request_id, end) for request_id in open_job.request_ids
        )
        if end.end is not JobEnd.ABANDONED:
            self._recent.add(job, end.end, now_s)
        if open_job.newest_run:
            self._recent_runs.add(job, open_job.newest_run, now_s)

    def tick(self, now_s: float) -> None:
        """Forgets the final states and run numbers that are too old.

        Args:
            now_s: The monotonic clock of the process.
        """
        self._recent.evict_expired(now_s)
        self._recent_runs.evict_expired(now_s)
