"""Dispatcher of the best-effort jobs that an entry accepted."""

from collections.abc import Callable, Iterable

from ..effects import Count, Effect, Measure, Record, Respond, Send
from ..events import Peer
from ..tasks import (
    CancelBestEffortJob,
    JobEnd,
    JobPhase,
    RunEnd,
    RunResult,
    RunsEnded,
    TaskRef,
    UpstreamReport,
)
from .admission import Admission
from .agent_view import AgentView
from .agent_views import AgentViews
from .containment import CrashContainment
from .crashing_jobs import CrashingJobs
from .estimates import RunTimes
from .events import BestEffortSubmitted
from .evidence import (
    agent_given_up_record,
    caller_left_record,
    ended_again_record,
    ignored_record,
    missing_record,
    open_again_record,
    unexpected_record,
)
from .job import OpenJob, OpenTask
from .job_placer import JobPlacer
from .open_jobs import OpenJobs
from .placement import EarliestCompletion, Placement
from .planner import Planner
from .responses import BestEffortEnded
from .settings import DispatchSettings

# Results that count as failures of the upstream.
_UPSTREAM_FAULTS = frozenset((RunEnd.FAILED, RunEnd.STALLED))
# Results of runs that never started.
_NEVER_STARTED = frozenset((RunEnd.RETURNED, RunEnd.NO_CAPACITY))
# Results of the runs of a job that was stopped; no task waits for them.
_ENDS_OF_STOPPED_JOBS = _NEVER_STARTED | {RunEnd.STOPPED}


class Dispatcher:
    """Assigns the tasks of open jobs to agents.

    Explanation:
        Every task is offered immediately to the agent with the earliest
        expected completion time and queues there, so that no capacity is
        idle for the duration of a message exchange. A task is offered again
        only when its previous run is known to have ended.

    Attributes:
        agents: The known agents.
        crashing_jobs: Gives up the jobs that crash their upstreams.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        placement: Placement | None = None,
        seed: int = 0,
        find_entries: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """Starts without agents.

        Args:
            settings: Settings.
            placement: Placement policy; `EarliestCompletion` by default.
            seed: Seed of the jitter in the default policy.
            find_entries: Returns the names of the connected entries.
        """
        self._times = RunTimes()
        self._admission = Admission(settings, self._times)
        self.agents = AgentViews(settings.agent_removal_s)
        views = self.agents.by_name
        self._containment = CrashContainment(settings.outcome_retention_s)
        planner = Planner(
            placement or EarliestCompletion(settings.far_factor, seed),
            self._times,
            views,
            self._containment,
        )
        self._jobs = OpenJobs(views, settings.outcome_retention_s)
        self._placer = JobPlacer(planner, self._admission, self._jobs)
        self.crashing_jobs = CrashingJobs(
            self._jobs, self._containment, find_entries
        )

    @property
    def idle(self) -> bool:
        """Whether no job is open."""
        return not self._jobs

    @property
    def views(self) -> dict[str, AgentView]:
        """The agents by name."""
        return self.agents.by_name

    @property
    def draining(self) -> bool:
        """Whether the process stops as soon as no job is open."""
        return self._admission.draining

    def drain(self) -> None:
        """Starts to refuse jobs that would not complete before the stop."""
        self._admission.draining = True

    def state(self, job: str) -> JobPhase | JobEnd | None:
        """Returns the phase or final state of a job, None if unknown.

        Args:
            job: Id of the job.
        """
        return self._jobs.state(job)

    def pending(self, queue: str) -> int:
        """Returns the number of open jobs of a queue without any offer yet.

        Args:
            queue: Name of the queue.
        """
        return self._jobs.pending(queue)

    def resumed(self) -> None:
        """Defers all placement after a pause of this process."""
        self._placer.resumed()

    # Requests of callers.

    def on_submitted(
        self,
        event: BestEffortSubmitted,
        effects: list[Effect],
    ) -> None:
        """Admits or refuses a submitted job.

        Explanation:
            The caller of a job that is already open also waits for its
            outcome. The resubmission of a job that ended recently is
            answered with the final state.
        """
        job = event.job
        now_s = event.now_s
        known = self._jobs.find(job.job)
        if known is not None:
            known.request_ids.append(event.request_id)
            effects.append(Count('jobs_sent_again', 'open'))
            effects.append(open_again_record(known, now_s))
            return
        earlier = self._jobs.find_end(job.job)
        if earlier is not None:
            effects.append(Count('jobs_sent_again', earlier.value))
            effects.append(ended_again_record(job.job, earlier.value))
            end = BestEffortEnded(earlier, 'sent again')
            effects.append(Respond(event.request_id, end))
            return
        earlier_runs = self._jobs.find_earlier_runs(job.job)
        open_job = OpenJob(job, event.request_id, now_s, earlier_runs)
        if self._containment.is_crashing(job.job):
            self._jobs.add(open_job)
            self.crashing_jobs.give_up(open_job, now_s, effects)
            return
        open_job.open_steps()
        refusal = self._placer.place_new(open_job, now_s, effects)
        if refusal is not None:
            effects.append(Respond(event.request_id, refusal))

    def cancel(self, job: str, now_s: float, effects: list[Effect]) -> bool:
        """Cancels an open job on request of a caller.

        Args:
            job: Id of the job.
            now_s: The monotonic clock of the process.
            effects: List to which effects are appended.

        Returns:
            Whether the job was open.
        """
        open_job = self._jobs.find(job)
        if open_job is None:
            return False
        end = BestEffortEnded(JobEnd.CANCELLED, 'cancelled by a caller')
        self._jobs.end(open_job, end, now_s, effects)
        return True

    def on_caller_disconnected(
        self,
        request_id: int,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Ends a job when the last of its callers has disconnected."""
        for open_job in self._jobs:
            if request_id not in open_job.request_ids:
                continue
            open_job.request_ids.remove(request_id)
            if open_job.request_ids:
                effects.append(caller_left_record(open_job))
            else:
                end = BestEffortEnded(JobEnd.ABANDONED, 'caller hung up')
                self._jobs.end(open_job, end, now_s, effects)
            return

    # Messages of agents.

    def on_upstream_report(
        self,
        sender: Peer,
        report: UpstreamReport,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Starts a session and reconciles the tasks with the agent's report.

        Explanation:
            Results are sent before a report on the same link. A task that is
            missing in a later report was therefore in an offer that the agent
            discarded; with the first report on a link, its result may be lost.
            Jobs with tasks that the report lists but the entry doesn't expect
            are cancelled at the agent.
        """
        view = self.agents.find(sender.name)
        if view is None:
            return
        earlier_session = view.session
        end = RunEnd.RETURNED if earlier_session else RunEnd.LOST
        view.start_session(report)
        reported = set(report.held)
        unknown = reported - view.tasks
        if unknown:
            effects.append(unexpected_record(view, unknown))
        missing = view.tasks - reported
        if missing:
            effects.append(missing_record(view, earlier_session, missing))
        for ref in sorted(missing):
            self._end_task(view, ref, end, 'not at the agent', now_s, effects)
        effects.extend(
            Send(view.name, CancelBestEffortJob(job))
            for job in sorted({unknown_ref.job for unknown_ref in unknown})
        )

    def on_runs_ended(
        self,
        sender: Peer,
        message: RunsEnded,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Processes the results of runs."""
        view = self.agents.find(sender.name)
        if view is None:
            return
        for run_result in message.results:
            self._handle_result(view, run_result, now_s, effects)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Removes lost agents, ends expired jobs and retries placement."""
        self._admission.tick(now_s)
        self._placer.tick()
        for view in self.agents.expired(now_s):
            self._remove_agent(view, now_s, effects)
        for open_job in self._jobs:
            if now_s >= open_job.caller_deadline_s:
                end = BestEffortEnded(JobEnd.ABANDONED, 'deadline passed')
                self._jobs.end(open_job, end, now_s, effects)
            elif any(open_job.unplaced()):
                self._placer.retry(open_job, now_s, effects)
        self._jobs.tick(now_s)
        self._containment.tick(now_s)

    # Placement, results and ends of jobs.

    def _remove_agent(
        self,
        view: AgentView,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        effects.append(agent_given_up_record(view, now_s))
        for ref in sorted(view.tasks):
            self._end_task(view, ref, RunEnd.LOST, 'agent lost', now_s, effects)
        self.agents.by_name.pop(view.name)

    def _handle_result(
        self,
        view: AgentView,
        run_result: RunResult,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        open_job, task = self._jobs.find_task(view, run_result.task)
        if open_job is None or task is None or task.run != run_result.run:
            self._ignore_result(view, open_job, run_result, effects)
            return
        view.tasks.discard(task.ref)
        task.agent = ''
        open_job.has_run |= run_result.end not in _NEVER_STARTED
        if run_result.end is RunEnd.DONE:
            self._handle_completed_task(
                view, open_job, task, run_result, now_s, effects
            )
            return
        if run_result.end is RunEnd.NO_CAPACITY:
            task.capacity_rejections += 1
            view.mark_full()
            effects.append(Count('tasks', 'crowded'))
            self._placer.place(open_job, now_s, effects)
            return
        effects.append(
            Record(
                'run ended',
                subject=f'{task.ref.job}.{task.ref.step}.{task.ref.index}',
                detail=f'run {task.run} at {view.name}: {run_result.end.value}'
                f' {run_result.cause}',
                logged=True,
            ),
        )
        task.excluded_agents.add(view.name)
        if run_result.end in _UPSTREAM_FAULTS:
            view.observe_result(now_s, failed=True)
        if run_result.end is RunEnd.FAILED:
            task.failures += 1
        if task.failures >= open_job.job.max_starts:
            end = BestEffortEnded(JobEnd.FAILED, 'a task failed too often')
            self._jobs.end(open_job, end, now_s, effects)
        else:
            self._placer.place(open_job, now_s, effects)

    def _ignore_result(
        self,
        view: AgentView,
        open_job: OpenJob | None,
        run_result: RunResult,
        effects: list[Effect],
    ) -> None:
        """Records a result that no run waits for.

        Explanation:
            Runs of a job that has ended are stopped or returned.
        """
        if open_job is None:
            if run_result.end in _ENDS_OF_STOPPED_JOBS:
                return
            job_end = self._jobs.find_end(run_result.task.job)
            cause = f'job {job_end or "unknown or given up"}'
        else:
            task = open_job.tasks.get(run_result.task)
            cause = 'task done'
            if task is not None:
                cause = f'run {task.run} at {task.agent or "no agent"}'
        effects.append(Count('tasks', 'result ignored'))
        effects.append(ignored_record(view, run_result, cause))

    def _handle_completed_task(
        self,
        view: AgentView,
        open_job: OpenJob,
        task: OpenTask,
        run_result: RunResult,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        job = open_job.job
        view.observe_run_time(run_result.ran_s, task.expected_s)
        view.observe_result(now_s, failed=False)
        declared_s = job.steps[task.ref.step].estimate_s
        self._times.observe(job.queue, declared_s, run_result.ran_s)
        open_job.finish(task)
        if open_job.done:
            effects.append(Measure('job_s', now_s - open_job.arrived_s))
            end = BestEffortEnded(JobEnd.COMPLETED)
            self._jobs.end(open_job, end, now_s, effects)
        elif open_job.open_steps():
            self._placer.place(open_job, now_s, effects)

    def _end_task(
        self,
        view: AgentView,
        ref: TaskRef,
        end: RunEnd,
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        open_job, task = self._jobs.find_task(view, ref)
        view.tasks.discard(ref)
        if open_job is None or task is None:
            return
        run_result = RunResult(ref, task.run, end, 0.0, cause)
        self._handle_result(view, run_result, now_s, effects)
