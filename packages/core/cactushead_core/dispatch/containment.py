"""Limits what jobs that crash their upstreams can take down."""

from collections.abc import Iterable

from ..tasks import (
    BestEffortJob,
    CrashingJobFound,
    JobStep,
    UpstreamCrashed,
)
from .agent_view import AgentView
from .confinement import Confinement, confined_agents
from .crashes import CrashHistory
from .placement import can_run, is_suited


class CrashContainment:
    """Finds jobs that crash upstreams and confines queues with several."""

    def __init__(self, retention_s: float) -> None:
        """Starts without crashes.

        Args:
            retention_s: How long a crash is kept.
        """
        self._history = CrashHistory(retention_s)
        self._confinement = Confinement()

    def separate_suspects(
        self,
        job: str,
        queue: str,
        agents: list[AgentView],
    ) -> list[AgentView]:
        """Returns the agents for a task, without those that have suspects.

        Explanation:
            Tasks that start together look alike if one of them crashes their
            upstream. In a confined queue, where a second crash is likely, a
            suspect waits for an upstream without another one. So does one of
            two jobs that may both have caused the same crashes.

        Args:
            job: Id of the task's job.
            queue: Its queue.
            agents: Agents that may run the task.
        """
        if not self._history.is_suspect(job):
            return agents
        separate = [
            view
            for view in agents
            if not any(
                ref.job != job and self._history.is_suspect(ref.job)
                for ref in view.tasks
            )
        ]
        waits = self._confinement.is_confined(
            queue
        ) or self._history.is_ambiguous(job)
        return separate if separate or waits else agents

    def is_crashing(self, job: str) -> bool:
        """Whether a job is considered the cause of crashes.

        Args:
            job: Id of the job.
        """
        return self._history.is_crashing(job)

    def select_agents(
        self,
        job: BestEffortJob,
        step: JobStep,
        views: Iterable[AgentView],
    ) -> list[AgentView]:
        """Returns the agents that may run a step of a job.

        Explanation:
            A step of a confined queue gets a part of the agents whose
            upstreams are suited to it. Other queues use the agents of confined
            ones only if no other agent can run the step. An agent keeps its
            place while its upstream is down; otherwise each crash would expose
            another one.

        Args:
            job: The job.
            step: The step.
            views: All known agents.
        """
        served = [view for view in views if view.service == job.service]
        if not self._confinement.active:
            return served
        if self._confinement.is_confined(job.queue):
            suited = [view for view in served if is_suited(view, step)]
            chosen = confined_agents([view.name for view in suited])
            return [view for view in suited if view.name in chosen]
        confined = confined_agents([view.name for view in served])
        others = [view for view in served if view.name not in confined]
        return others if any(can_run(view, step) for view in others) else served

    def upstream_crashed(self, report: UpstreamCrashed, now_s: float) -> None:
        """Records a crash.

        Args:
            report: The crash and the tasks that may be the cause.
            now_s: The monotonic clock of the process.
        """
        self._history.record(report, now_s)

    def job_given_up(
        self, job: str, queue: str, now_s: float
    ) -> CrashingJobFound:
        """Records that a job was given up as the cause of crashes.

        Args:
            job: Id of the job.
            queue: Its queue.
            now_s: The monotonic clock of the process.

        Returns:
            The message for the other entries.
        """
        message = self._history.found(job, queue, now_s)
        self._confinement.crashing_job_found(queue, now_s)
        return message

    def crashing_job_found(
        self, message: CrashingJobFound, now_s: float
    ) -> None:
        """Records that another entry found a job that crashes upstreams.

        Args:
            message: The job and its crashes.
            now_s: The monotonic clock of the process.
        """
        self._history.explain(message, now_s)
        self._confinement.crashing_job_found(message.queue, now_s)

    def tick(self, now_s: float) -> None:
        """Forgets what is too old.

        Args:
            now_s: The monotonic clock of the process.
        """
        self._history.evict_expired(now_s)
        self._confinement.tick(now_s)
