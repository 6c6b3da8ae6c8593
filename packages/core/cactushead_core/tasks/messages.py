"""Messages between entries and agents about best-effort tasks."""

from dataclasses import dataclass

from ..messages.base import Message, wire_type
from .model import Resources, RunEnd, TaskRef


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One run of a task of the offer's step.

    Attributes:
        index: Number of the task in the step.
        run: Number of the run; a later run of the task has a higher one.
    """

    index: int
    run: int


@wire_type(123)
@dataclass(frozen=True, slots=True)
class OfferTasks(Message):
    """An entry hands tasks of one step to an agent.

    Attributes:
        session: Session of the agent's last report to this entry; an agent
            drops offers of an earlier one.
        number: Number of the offer in the session, from 1.
        job: Id of the job.
        step: Number of the step.
        payload: What the upstream gets.
        needs: Room that each task needs.
        runs: The tasks.
        slack_s: How long the start may wait; the least goes first.
        expected_s: Expected run time.
        may_wait: Whether tasks may queue; else those without room at once
            are handed back.
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
    """The owner wants no task of a job to run any more."""

    job: str


@dataclass(frozen=True, slots=True)
class RunResult:
    """How one run ended.

    Attributes:
        task: The task.
        run: Number of the run.
        end: How it ended.
        ran_s: Time from its start, 0 if it never started.
        cause: Short text for logs; empty when it is done.
    """

    task: TaskRef
    run: int
    end: RunEnd
    ran_s: float
    cause: str


@wire_type(125)
@dataclass(frozen=True, slots=True)
class RunsEnded(Message):
    """An agent tells an owner how runs ended."""

    results: tuple[RunResult, ...]


@wire_type(126)
@dataclass(frozen=True, slots=True)
class UpstreamReport(Message):
    """What an agent's upstream is, sent on a new link and on changes.

    Explanation:
        It begins a session: the tasks of the receiver that the agent has are
        listed, and offers of an earlier session are void. So a task that is
        missing here runs nowhere at this agent and can't start here later.

    Attributes:
        session: Number of the session with this receiver.
        service: Service that the upstream belongs to; empty for none.
        ready: Whether new tasks may be offered.
        capacity: Room of the upstream.
        labels: Labels of the upstream.
        held: Tasks of the receiver that the agent has.
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
    """How full an agent's upstream is.

    Attributes:
        allocated: Room taken by what runs, starts or stops.
        queued_cpu_m: Processor need of the queued tasks.
        mean_run_s: Mean run time of late, 0 when unknown.
        offers: Number of the newest offer of the receiver that this counts.
    """

    allocated: Resources
    queued_cpu_m: int
    mean_run_s: float
    offers: int
