"""Waiting tasks in lanes: one lane for each service and caller."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count

from .model import QueuedTask
from .shares import Rank, Share

# A job is overtaken only by jobs that arrive within this time after it.
MAX_OVERTAKE_S = 10.0
MAX_STALE_ENTRIES = 64

# Distinguishes entries of equal rank, and current from outdated ones.
_entry_ids = count(1)


@dataclass(slots=True, eq=False)
class Batch:
    """Waiting tasks of one job with the same declared size.

    Attributes:
        job: The job.
        tasks: The tasks, the next to start first.
        ticket: Ticket of its current entry in the lane.
        parked: Whether it is set aside, since it fits no upstream now.
    """

    job: 'WaitingJob'
    tasks: deque[QueuedTask] = field(default_factory=deque)
    entry_id: int = 0
    unschedulable: bool = False


@dataclass(slots=True, eq=False)
class WaitingJob:
    """A job with waiting tasks.

    Attributes:
        lane: Lane of its service and caller.
        queued_s: When its first task was queued.
        estimate_s: How long one of its tasks will probably run.
        waiting: Its tasks that wait.
        batches: The tasks by declared size.
    """

    caller_queue: 'CallerQueue'
    queued_s: float
    estimate_s: float
    waiting: int = 0
    batches: dict[tuple[float, float], Batch] = field(default_factory=dict)

    @property
    def rank_s(self) -> float:
        """Arrival plus estimated remaining work; the lowest is next.

        The arrival bounds how long a job can be overtaken by smaller ones.
        """
        work_s = self.waiting * self.estimate_s
        return self.queued_s + min(work_s, MAX_OVERTAKE_S)

    def batch(self, task: QueuedTask) -> Batch:
        """Returns the batch of a task, made when it is new.

        Args:
            task: One of the job's tasks.
        """
        shape = (task.cores, task.memory_mb)
        batch = self.batches.get(shape)
        if batch is None:
            batch = Batch(self)
            self.batches[shape] = batch
        return batch


@dataclass(slots=True, eq=False)
class CallerQueue:
    """Waiting jobs of one caller at one service, least work first.

    Attributes:
        queue: The service's lanes.
        share: The caller's share within the team.
        ticket: Ticket of its current entry among the lanes, 0 for none.
        entries: Heap of the batches.
    """

    service_queue: 'ServiceQueue'
    share: Share
    entry_id: int = 0
    entries: list[tuple[float, int, Batch]] = field(default_factory=list)

    @property
    def rank(self) -> Rank:
        """Rank among the service's lanes, while a batch is ready."""
        batch = self.top()
        work = batch.job.rank_s if batch else 0.0
        return (self.share.round, work)

    def push(self, batch: Batch) -> None:
        """Enters a batch, or again under its present rank.

        Args:
            batch: A batch of this lane.
        """
        batch.entry_id = next(_entry_ids)
        entry = (batch.job.rank_s, batch.entry_id, batch)
        heapq.heappush(self.entries, entry)

    def top(self) -> Batch | None:
        """Returns the batch to start next, or None."""
        entries = self.entries
        while entries:
            _, entry_id, batch = entries[0]
            if (
                batch.entry_id == entry_id
                and batch.tasks
                and not batch.unschedulable
            ):
                return batch
            heapq.heappop(entries)
        return None

    def update_top(self, batch: Batch) -> None:
        """Ranks the top batch anew after one of its tasks was taken.

        Args:
            batch: The batch that `top` returned.
        """
        top = self.entries[0][2]
        assert top is batch, f'{batch.job} is not the top of its lane'
        if batch.tasks:
            batch.entry_id = next(_entry_ids)
            entry = (batch.job.rank_s, batch.entry_id, batch)
            heapq.heapreplace(self.entries, entry)
        else:
            heapq.heappop(self.entries)


class ServiceQueue:
    """The lanes of one service, the caller whose turn it is first."""

    def __init__(self, service: str) -> None:
        """Starts without lanes.

        Args:
            service: Name of the service.
        """
        self.service = service
        self.caller_queues: dict[str, CallerQueue] = {}
        self._entries: list[tuple[Rank, int, CallerQueue]] = []

    def caller_queue(self, caller: str, share: Share) -> CallerQueue:
        """Returns the lane of a caller, made when it is new.

        Args:
            caller: The caller.
            share: Its share within the team.
        """
        caller_queue = self.caller_queues.get(caller)
        if caller_queue is None:
            caller_queue = CallerQueue(self, share)
            self.caller_queues[caller] = caller_queue
        return caller_queue

    def push(self, caller_queue: CallerQueue) -> None:
        """Enters a lane, or again under its present rank.

        Args:
            caller_queue: A caller's queue of this service.
        """
        caller_queue.entry_id = next(_entry_ids)
        entry = (caller_queue.rank, caller_queue.entry_id, caller_queue)
        heapq.heappush(self._entries, entry)
        if len(self._entries) > 2 * len(self.caller_queues) + MAX_STALE_ENTRIES:
            self._entries = [
                entry
                for entry in self._entries
                if entry[1] == entry[2].entry_id
            ]
            heapq.heapify(self._entries)

    def top(self) -> CallerQueue | None:
        """Returns the lane whose turn it is, or None."""
        entries = self._entries
        while entries:
            rank, entry_id, caller_queue = entries[0]
            if entry_id != caller_queue.entry_id:
                heapq.heappop(entries)
                continue
            batch = caller_queue.top()
            if batch is None:
                heapq.heappop(entries)
                caller_queue.entry_id = 0
                continue
            current = (caller_queue.share.round, batch.job.rank_s)
            if current == rank:
                return caller_queue
            heapq.heapreplace(entries, (current, entry_id, caller_queue))
        return None
