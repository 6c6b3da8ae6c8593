"""The runs of an agent, from their queueing to their end."""

from dataclasses import dataclass
from enum import StrEnum

from ..effects import Record
from ..events import Peer
from ..tasks import Resources, RunEnd, TaskRef
from .model import PlacementBasis


class Phase(StrEnum):
    """Phase of a run at an agent.

    Attributes:
        QUEUED: It waits for free resources; no call was made.
        STARTING: The start call awaits its answer.
        RUNNING: The upstream has started it.
        STOPPING: It may still be at the upstream and is being stopped.
    """

    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True)
class LeasedRun:
    """One run at an agent.

    Attributes:
        owner: The entry that offered it.
        task: The task.
        run: Number of the run.
        needs: Resources allocated to it once it has left the queue.
        payload: Input of the task.
        start_by_s: Latest start that meets the deadline; the earliest has
            priority.
        expected_s: Expected run time.
        may_wait: Whether it may queue.
        phase: Its phase.
        start_sent_s: When the start call was sent.
        started_s: When the upstream confirmed the start.
        unanswered_s: When the start call ended without an answer; 0 before.
        stop_due_s: When the next stop call is due.
        stop_pending: Whether a stop call awaits its answer.
        stop_confirmed_s: When a stop was confirmed; 0 before.
        percent: Its progress in the newest list; -1 before the first.
        progress_ms: Upstream's clock when that progress was first listed.
        end: End reported to the owner once a stopping run is gone; None to
            report the end that the upstream lists.
        cause: Why it is being stopped.
        stop_asked_s: When it was marked for stopping.
        lease_limit_s: Time by which its lease has to end, since its task may be
            started elsewhere after that; set once its owner has given it up.
        session: Session of the offer.
        basis: What the owner knew of the upstream in that session.
        contested_by: Entry whose offer of the task was turned down last.
    """

    owner: Peer
    task: TaskRef
    run: int
    needs: Resources
    payload: str
    start_by_s: float
    expected_s: float
    may_wait: bool = True
    phase: Phase = Phase.QUEUED
    start_sent_s: float = 0.0
    started_s: float = 0.0
    unanswered_s: float = 0.0
    stop_due_s: float = 0.0
    stop_pending: bool = False
    stop_confirmed_s: float = 0.0
    percent: int = -1
    progress_ms: int = 0
    end: RunEnd | None = None
    cause: str = ''
    stop_asked_s: float = 0.0
    lease_limit_s: float = float('inf')
    session: int = 0
    basis: PlacementBasis | None = None
    contested_by: Peer | None = None


class RunTable:
    """All runs of an agent and the resources allocated to them."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.allocated = Resources()
        self.queued_cpu_m = 0
        self.queued_count = 0
        self._runs: dict[TaskRef, LeasedRun] = {}

    def __len__(self) -> int:
        """Returns the number of runs, queued ones included."""
        return len(self._runs)

    def find(self, task: TaskRef) -> LeasedRun | None:
        """Returns the run of a task, None if there is none."""
        return self._runs.get(task)

    def all(self) -> list[LeasedRun]:
        """Returns all runs."""
        return list(self._runs.values())

    def queued(self, now_s: float = 0.0) -> list[LeasedRun]:
        """Returns the queued runs in starting order.

        Explanation:
            Runs that can still meet their deadline come first, ordered by
            their latest start. Overdue runs come last, so that they delay
            no run that can still be on time.

        Args:
            now_s: The agent's clock.
        """
        waiting = [
            run for run in self._runs.values() if run.phase is Phase.QUEUED
        ]
        waiting.sort(key=lambda run: (run.start_by_s < now_s, run.start_by_s))
        return waiting

    def at_upstream(self) -> list[LeasedRun]:
        """Returns the runs that are or may be at the upstream."""
        return [
            run for run in self._runs.values() if run.phase is not Phase.QUEUED
        ]

    def of_owner(self, owner: Peer) -> list[LeasedRun]:
        """Returns the runs offered by one incarnation of an entry."""
        return [run for run in self._runs.values() if run.owner == owner]

    def owner_names(self) -> set[str]:
        """Returns the names of the entries that own runs."""
        return {run.owner.name for run in self._runs.values()}

    def add(self, run: LeasedRun) -> None:
        """Queues a run."""
        self._runs[run.task] = run
        self.queued_cpu_m += run.needs.cpu_m
        self.queued_count += 1

    def mark_started(self, run: LeasedRun, now_s: float) -> None:
        """Allocates the resources of a queued run whose start call is sent."""
        run.phase = Phase.STARTING
        run.start_sent_s = now_s
        self.queued_cpu_m -= run.needs.cpu_m
        self.queued_count -= 1
        self.allocated += run.needs

    def remove(self, run: LeasedRun) -> None:
        """Removes a run and releases its resources."""
        self._runs.pop(run.task)
        if run.phase is Phase.QUEUED:
            self.queued_cpu_m -= run.needs.cpu_m
            self.queued_count -= 1
        else:
            self.allocated -= run.needs


def run_record(kind: str, run: LeasedRun, cause: str) -> Record:
    """Returns a logged time line record of a run.

    Args:
        kind: Kind of the event.
        run: The run.
        cause: Why it happened; empty for the run's own cause.
    """
    task = run.task
    return Record(
        kind,
        subject=f'{task.job}.{task.step}.{task.index}',
        detail=f'run {run.run}: {cause or run.cause}',
        logged=True,
    )
