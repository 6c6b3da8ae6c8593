"""An entry's dispatch of the best-effort jobs that it took."""

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
    UpstreamLoad,
    UpstreamReport,
)
from .admission import Admission, refusal_record
from .estimates import RunTimes
from .events import BestEffortSubmitted, CancelRequested
from .fleet import AgentView
from .job import OpenJob, OpenTask
from .offers import offer_planned
from .placement import EarliestCompletion, Placement
from .planner import PlannedTask, Planner
from .recent import RecentEnds
from .responses import BestEffortEnded, CancelAnswered
from .settings import DispatchSettings

# Ends that speak against the upstream.
_FAULTS = frozenset((RunEnd.FAILED, RunEnd.STALLED))


class Dispatcher:
    """Open jobs, the agents' state, and who gets which task.

    Explanation:
        Every task is offered at once to the agent at which it is expected
        to end first, and waits there, so no room stays idle while a message
        is on its way. A task is offered again only when its run is over for
        certain.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        placement: Placement | None = None,
        seed: int = 0,
    ) -> None:
        """Starts without agents.

        Args:
            settings: Settings.
            placement: Chooses agents; the default expects the earliest end.
            seed: Seed of the default's jitter.
        """
        self._settings = settings
        self._times = RunTimes()
        self._admission = Admission(settings, self._times)
        self._views: dict[str, AgentView] = {}
        self._planner = Planner(
            placement or EarliestCompletion(settings.far_factor, seed),
            self._times,
            self._views,
        )
        self._jobs: dict[str, OpenJob] = {}
        self._recent = RecentEnds(settings.recent_s)

    @property
    def idle(self) -> bool:
        """Whether no job is open."""
        return not self._jobs

    @property
    def views(self) -> dict[str, AgentView]:
        """The agents by name."""
        return self._views

    @property
    def draining(self) -> bool:
        """Whether the process shall stop once no job is open."""
        return self._admission.draining

    def drain(self) -> None:
        """Takes no more jobs that would outlast the process."""
        self._admission.draining = True

    def state(self, job: str) -> JobPhase | JobEnd | None:
        """Returns where a job stands here, None for an unknown job.

        Args:
            job: Id of the job.
        """
        opened = self._jobs.get(job)
        if opened is None:
            return self._recent.find(job)
        return JobPhase.RUNNING if opened.offered else JobPhase.QUEUED

    def pending(self, queue: str) -> int:
        """Returns how many open jobs of a queue wait for their first offer.

        Args:
            queue: Name of the queue.
        """
        return sum(
            opened.job.queue == queue and not opened.offered
            for opened in self._jobs.values()
        )

    # Callers.

    def submitted(
        self,
        event: BestEffortSubmitted,
        effects: list[Effect],
    ) -> None:
        """Takes a job, or refuses it."""
        job = event.job
        now_s = event.now_s
        known = self._jobs.get(job.job)
        if known is not None:
            known.request_ids.append(event.request_id)
            return
        earlier = self._recent.find(job.job)
        if earlier is not None:
            end = BestEffortEnded(earlier, 'sent again')
            effects.append(Respond(event.request_id, end))
            return
        opened = OpenJob(job, event.request_id, now_s)
        opened.open_steps()
        plan = self._planner.plan(opened, now_s)
        refusal = self._find_refusal(opened, plan, now_s)
        if refusal is not None:
            effects.append(refusal_record(job, refusal))
            effects.append(Respond(event.request_id, refusal))
            return
        self._jobs[job.job] = opened
        effects.extend(offer_planned(opened, plan, now_s))

    def on_cancel_requested(
        self,
        event: CancelRequested,
        effects: list[Effect],
    ) -> None:
        """Cancels a job for a caller."""
        opened = self._jobs.get(event.job)
        if opened is not None:
            end = BestEffortEnded(JobEnd.CANCELLED, 'cancelled by a caller')
            self._end(opened, end, event.now_s, effects)
        found = CancelAnswered(opened is not None)
        effects.append(Respond(event.request_id, found))

    def on_caller_gone(
        self,
        request_id: int,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Drops a job when the last of its callers hung up."""
        for opened in list(self._jobs.values()):
            if request_id not in opened.request_ids:
                continue
            opened.request_ids.remove(request_id)
            if not opened.request_ids:
                end = BestEffortEnded(JobEnd.GIVEN_UP, 'caller hung up')
                self._end(opened, end, now_s, effects)
            return

    # Agents.

    def on_agent_connected(self, peer: Peer) -> None:
        """Takes an agent whose link is up."""
        view = self._views.setdefault(peer.name, AgentView(peer.name))
        view.connected = True
        view.session = 0

    def on_agent_lost(self, peer: Peer, now_s: float) -> None:
        """Notes that an agent's link is down."""
        view = self._views.get(peer.name)
        if view is not None:
            view.connected = False
            view.lost_s = now_s

    def on_upstream_report(
        self,
        sender: Peer,
        report: UpstreamReport,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Takes an agent's report; what it lacks runs nowhere."""
        view = self._views.get(sender.name)
        if view is None:
            return
        view.start_session(report)
        held = set(report.held)
        unknown = held - view.tasks
        for ref in sorted(view.tasks - held):
            self._take_loss(view, ref, 'not at the agent', now_s, effects)
        effects.extend(
            Send(view.name, CancelBestEffortJob(job))
            for job in sorted({held_ref.job for held_ref in unknown})
        )

    def on_upstream_load(self, sender: Peer, load: UpstreamLoad) -> None:
        """Takes an agent's word on its load."""
        view = self._views.get(sender.name)
        if view is not None:
            view.update_load(load)

    def on_runs_ended(
        self,
        sender: Peer,
        message: RunsEnded,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Takes the ends of runs."""
        view = self._views.get(sender.name)
        if view is None:
            return
        for run_result in message.results:
            self._take_result(view, run_result, now_s, effects)

    def tick(self, now_s: float, effects: list[Effect]) -> None:
        """Gives up lost agents and callers whose patience is over."""
        self._admission.tick(now_s)
        for view in list(self._views.values()):
            absent_s = 0.0 if view.connected else now_s - view.lost_s
            if absent_s >= self._settings.gone_s:
                self._give_up(view, now_s, effects)
        for opened in list(self._jobs.values()):
            if now_s >= opened.caller_deadline_s:
                end = BestEffortEnded(JobEnd.GIVEN_UP, 'deadline passed')
                self._end(opened, end, now_s, effects)
            elif any(opened.unplaced()):
                self._place_again(opened, now_s, effects)
        self._recent.forget_old(now_s)

    # Steps.

    def _give_up(
        self,
        view: AgentView,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        for ref in sorted(view.tasks):
            self._take_loss(view, ref, 'agent lost', now_s, effects)
        self._views.pop(view.name)

    def _place_again(
        self,
        opened: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        plan = self._planner.plan(opened, now_s)
        if not opened.offered:
            refusal = self._find_refusal(opened, plan, now_s)
            if refusal is not None:
                effects.append(refusal_record(opened.job, refusal))
                self._end(opened, refusal, now_s, effects)
                return
        effects.extend(offer_planned(opened, plan, now_s))

    def _find_refusal(
        self,
        opened: OpenJob,
        plan: list[PlannedTask],
        now_s: float,
    ) -> BestEffortEnded | None:
        job = opened.job
        delay_s = max((planned.delay_s for planned in plan), default=0.0)
        return self._admission.find_refusal(
            job,
            delay_s,
            lacking=not self._planner.fits(job),
            now_s=now_s,
        )

    def _place(
        self,
        opened: OpenJob,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Offers all tasks that no agent has."""
        plan = self._planner.plan(opened, now_s)
        effects.extend(offer_planned(opened, plan, now_s))

    def _take_result(
        self,
        view: AgentView,
        run_result: RunResult,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        opened, task = self._find(view, run_result.task)
        if opened is None or task is None or task.run != run_result.run:
            return
        view.tasks.discard(task.ref)
        task.agent = ''
        if run_result.end is RunEnd.DONE:
            self._take_done(view, opened, task, run_result, now_s, effects)
            return
        if run_result.end is RunEnd.NO_CAPACITY:
            task.crowded += 1
            view.crowded()
            effects.append(Count('tasks', 'crowded'))
            self._place(opened, now_s, effects)
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
        task.avoided.add(view.name)
        if run_result.end in _FAULTS:
            view.observe_end(now_s, failed=True)
        if run_result.end is RunEnd.FAILED:
            task.failures += 1
        if task.failures >= opened.job.max_starts:
            end = BestEffortEnded(JobEnd.FAILED, 'a task failed too often')
            self._end(opened, end, now_s, effects)
        else:
            self._place(opened, now_s, effects)

    def _take_done(
        self,
        view: AgentView,
        opened: OpenJob,
        task: OpenTask,
        run_result: RunResult,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        job = opened.job
        view.ran(run_result.ran_s, task.expected_s)
        view.observe_end(now_s, failed=False)
        declared_s = job.steps[task.ref.step].estimate_s
        self._times.observe(job.queue, declared_s, run_result.ran_s)
        opened.finish(task)
        if opened.done:
            effects.append(Measure('job_s', now_s - opened.began_s))
            self._end(
                opened,
                BestEffortEnded(JobEnd.COMPLETED),
                now_s,
                effects,
            )
        elif opened.open_steps():
            self._place(opened, now_s, effects)

    def _take_loss(
        self,
        view: AgentView,
        ref: TaskRef,
        cause: str,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        opened, task = self._find(view, ref)
        view.tasks.discard(ref)
        if opened is None or task is None:
            return
        lost = RunResult(ref, task.run, RunEnd.LOST, 0.0, cause)
        self._take_result(view, lost, now_s, effects)

    def _find(
        self,
        view: AgentView,
        ref: TaskRef,
    ) -> tuple[OpenJob | None, OpenTask | None]:
        opened = self._jobs.get(ref.job)
        task = None if opened is None else opened.tasks.get(ref)
        if task is not None and task.agent != view.name:
            task = None
        return opened, task

    def _end(
        self,
        opened: OpenJob,
        end: BestEffortEnded,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        """Answers the callers and stops what still runs."""
        job = opened.job.job
        self._jobs.pop(job)
        for agent in opened.agents():
            effects.append(Send(agent, CancelBestEffortJob(job)))
        for task in opened.tasks.values():
            if task.agent in self._views:
                self._views[task.agent].tasks.discard(task.ref)
        effects.append(Count('jobs', end.end.value))
        effects.extend(
            Respond(request_id, end) for request_id in opened.request_ids
        )
        if end.end is not JobEnd.GIVEN_UP:
            self._recent.add(job, end.end, now_s)
