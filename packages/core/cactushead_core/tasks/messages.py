"""Messages between entries and agents about best-effort tasks."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import Resources, RunEnd, TaskRef


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One run of a task in the step that an offer names.

    Attributes:
        index: Index of the task in the step, from 0.
        run: Run number; increases with each run of the task.
    """

    index: int
    run: int


@wire_type(123)
@dataclass(frozen=True, slots=True)
class OfferTasks(Message):
    """An entry offers tasks of one step to an agent.

    Attributes:
        session: Session of the agent's last report to this entry; the agent
            discards offers of earlier sessions.
        number: Sequence number of the offer within the session, from 1.
        job: Id of the job.
        step: Index of the step in the job.
        payload: Payload that is passed to the upstream.
        needs: Resources that each task requires.
        runs: The runs to start.
        slack_s: Time by which the start can be delayed without missing the
            objective; the agent starts tasks with the least slack first.
        expected_s: Expected run time of each task.
        may_wait: Whether the tasks may queue at the agent; otherwise those
            that don't fit immediately are returned to the entry.
    """

    session: int
    number: int
    job: str
    step: int
    payload: str
    needs: Resources
    runs: tuple[TaskRun, ...]
    slack_s: float
    expected_s: float
    may_wait: bool = True


@wire_type(124)
@dataclass(frozen=True, slots=True)
class CancelBestEffortJob(Message):
    """The owner cancels a job: its queued and running tasks must stop.

    Attributes:
        job: Id of the job.
    """

    job: str


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run.

    Attributes:
        task: The task.
        run: Run number.
        end: How the run ended.
        ran_s: Duration of the run, 0 if it never started.
        cause: Reason for logs; empty for a successful run.
    """

    task: TaskRef
    run: int
    end: RunEnd
    ran_s: float
    cause: str


@wire_type(125)
@dataclass(frozen=True, slots=True)
class RunsEnded(Message):
    """An agent reports the results of ended runs to their owner.

    Attributes:
        results: The results.
    """

    results: tuple[RunResult, ...]


@wire_type(126)
@dataclass(frozen=True, slots=True)
class UpstreamReport(Message):
    """State of an agent's upstream, sent on a new link and on changes.

    Explanation:
        The report starts a new session and invalidates offers of earlier
        ones. It lists all of the receiver's tasks at the agent, so a task
        that is missing is neither queued nor running there and can't start
        there later.

    Attributes:
        session: Number of the session with this receiver.
        service: Service that the upstream belongs to; empty for none.
        ready: Whether new tasks may be offered.
        capacity: Total resources of the upstream.
        labels: Labels of the upstream.
        held: Tasks of the receiver with a run at the agent, queued runs
            included.
    """

    session: int
    service: str
    ready: bool
    capacity: Resources
    labels: tuple[str, ...]
    held: tuple[TaskRef, ...]


@wire_type(127)
@dataclass(frozen=True, slots=True)
class UpstreamLoad(Message):
    """Load of an agent's upstream.

    Attributes:
        allocated: Resources of the runs that are starting, running or
            stopping.
        queued_cpu_m: Total processor demand of the queued tasks, in
            thousandths of a core.
        mean_run_s: Moving average of the run times, 0 when unknown.
        offers: Number of the receiver's last offer that the load includes.
    """

    allocated: Resources
    queued_cpu_m: int
    mean_run_s: float
    offers: int


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A task that was at an upstream when it crashed.

    Attributes:
        task: The task.
        age_s: Time from the start call of its run to the crash.
        started: Whether the upstream confirmed the start.
    """

    task: TaskRef
    age_s: float
    started: bool = True


@wire_type(129)
@dataclass(frozen=True, slots=True)
class UpstreamCrashed(Message):
    """Notifies all entries of a crash of an agent's upstream.

    Attributes:
        crash: Identity of the crash.
        suspects: The tasks that may be the cause.
    """

    crash: str
    suspects: tuple[CrashSuspect, ...]


@wire_type(136)
@dataclass(frozen=True, slots=True)
class CrashingJobFound(Message):
    """Notifies the other entries of a job that crashes its upstreams.

    Attributes:
        job: Id of the job.
        queue: Its queue.
        crashes: Crashes that it caused; other jobs are not to blame for them.
    """

    job: str
    queue: str
    crashes: tuple[str, ...]
