"""The runs that an agent queues, starts, holds and stops."""

from dataclasses import dataclass
from enum import StrEnum

from ..effects import Record
from ..events import Peer
from ..tasks import Resources, RunEnd, TaskRef


class Phase(StrEnum):
    """Where a run stands.

    Attributes:
        QUEUED: It waits for room; nothing was sent.
        STARTING: The start call is open.
        RUNNING: The upstream has it.
        STOPPING: It may be there, and has to go.
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
        needs: Room that it books while it isn't queued.
        payload: What the upstream gets.
        start_by_s: When it should start; the earliest goes first.
        expected_s: Expected run time.
        may_wait: Whether it may queue.
        phase: Where it stands.
        began_s: When the start call was sent.
        answered_s: When the start was answered.
        stop_due_s: When the next stop call is due.
        stop_open: Whether a stop call is open.
        stopped_s: When a stop was confirmed; 0 before.
        percent: Its progress in the newest list; -1 before the first.
        advanced_ms: Upstream's clock when that was first seen.
        end: What the owner is told once a stopping run is gone; None when
            the upstream's list decides.
        cause: Why it is stopped.
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
    began_s: float = 0.0
    answered_s: float = 0.0
    stop_due_s: float = 0.0
    stop_open: bool = False
    stopped_s: float = 0.0
    percent: int = -1
    advanced_ms: int = 0
    end: RunEnd | None = None
    cause: str = ''


class RunTable:
    """All runs of an agent and the room that they book."""

    def __init__(self) -> None:
        """Starts empty."""
        self.booked = Resources()
        self.queued_cpu_m = 0
        self._runs: dict[TaskRef, LeasedRun] = {}

    def __len__(self) -> int:
        """Returns the number of runs, queued ones included."""
        return len(self._runs)

    def find(self, task: TaskRef) -> LeasedRun | None:
        """Returns the run of a task, None when there is none."""
        return self._runs.get(task)

    def all(self) -> list[LeasedRun]:
        """Returns all runs."""
        return list(self._runs.values())

    def queued(self, now_s: float = 0.0) -> list[LeasedRun]:
        """Returns the queued runs, the next to start first.

        Explanation:
            Those that can still end in time go ahead, by the time at which
            they have to start; one that is late anyway makes no other late.

        Args:
            now_s: The agent's clock.
        """
        waiting = [
            run for run in self._runs.values() if run.phase is Phase.QUEUED
        ]
        waiting.sort(key=lambda run: (run.start_by_s < now_s, run.start_by_s))
        return waiting

    def at_upstream(self) -> list[LeasedRun]:
        """Returns the runs that the upstream has or may have."""
        return [
            run for run in self._runs.values() if run.phase is not Phase.QUEUED
        ]

    def of_owner(self, owner: Peer) -> list[LeasedRun]:
        """Returns the runs that one life of an entry offered."""
        return [run for run in self._runs.values() if run.owner == owner]

    def add(self, run: LeasedRun) -> None:
        """Queues a run."""
        self._runs[run.task] = run
        self.queued_cpu_m += run.needs.cpu_m

    def begin(self, run: LeasedRun, now_s: float) -> None:
        """Books the room of a queued run whose start is sent."""
        run.phase = Phase.STARTING
        run.began_s = now_s
        self.queued_cpu_m -= run.needs.cpu_m
        self.booked += run.needs

    def remove(self, run: LeasedRun) -> None:
        """Forgets a run and gives back its room."""
        self._runs.pop(run.task)
        if run.phase is Phase.QUEUED:
            self.queued_cpu_m -= run.needs.cpu_m
        else:
            self.booked -= run.needs


def note(kind: str, run: LeasedRun, cause: str) -> Record:
    """Returns a log line about a run.

    Args:
        kind: What happened.
        run: The run.
        cause: Why; empty for the cause of its end.
    """
    task = run.task
    return Record(
        kind,
        subject=f'{task.job}.{task.step}.{task.index}',
        detail=f'run {run.run}: {cause or run.cause}',
        logged=True,
    )
