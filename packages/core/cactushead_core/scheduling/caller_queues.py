"""Priority queues of waiting tasks, one for each service and caller.

Explanation:
    The heaps use lazy deletion: an item that is ranked again is pushed with a
    new entry id, and its outdated entries are dropped when they reach the top.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count

from .model import QueuedTask
from .shares import Rank, Share

# Only jobs that arrive within this time after a job can overtake it.
MAX_OVERTAKE_S = 10.0
MAX_STALE_ENTRIES = 64

# Breaks ties between heap entries of equal rank and identifies outdated ones.
_entry_ids = count(1)


@dataclass(slots=True, eq=False)
class Batch:
    """Waiting tasks of one job with the same declared size.

    Attributes:
        job: The job.
        tasks: The tasks, in order of arrival.
        entry_id: Id of its current entry in the heap of the caller queue.
        unschedulable: Whether it is set aside because its tasks fit no
            upstream now.
    """

    job: 'WaitingJob'
    tasks: deque[QueuedTask] = field(default_factory=deque)
    entry_id: int = 0
    unschedulable: bool = False


@dataclass(slots=True, eq=False)
class WaitingJob:
    """A job with waiting tasks.

    Attributes:
        caller_queue: Queue of its service and caller.
        queued_s: When its first task was queued.
        estimate_s: Expected run time of one of its tasks.
        waiting: Number of its waiting tasks.
        batches: Its waiting tasks by declared size.
    """

    caller_queue: 'CallerQueue'
    queued_s: float
    estimate_s: float
    waiting: int = 0
    batches: dict[tuple[float, float], Batch] = field(default_factory=dict)

    @property
    def rank_s(self) -> float:
        """Arrival time plus estimated remaining work; the lowest is next.

        The arrival time limits how long smaller jobs can overtake a job.
        """
        work_s = self.waiting * self.estimate_s
        return self.queued_s + min(work_s, MAX_OVERTAKE_S)

    def batch(self, task: QueuedTask) -> Batch:
        """Returns the batch of a task, creating it if necessary.

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
        service_queue: Queue of the service.
        share: The caller's share within the team.
        entry_id: Id of its current entry in the heap of the service queue, 0
            if it has none.
        entries: Heap of the batches by rank and entry id.
    """

    service_queue: 'ServiceQueue'
    share: Share
    entry_id: int = 0
    entries: list[tuple[float, int, Batch]] = field(default_factory=list)

    @property
    def rank(self) -> Rank:
        """Rank among the caller queues of the service."""
        batch = self.top()
        work = batch.job.rank_s if batch else 0.0
        return (self.share.round, work)

    def push(self, batch: Batch) -> None:
        """Adds a batch under its current rank.

        An earlier entry of the batch becomes outdated.

        Args:
            batch: A batch of this caller.
        """
        batch.entry_id = next(_entry_ids)
        entry = (batch.job.rank_s, batch.entry_id, batch)
        heapq.heappush(self.entries, entry)

    def top(self) -> Batch | None:
        """Returns the batch of the task to start next, or None."""
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
        """Updates the rank of the top batch after a task was dequeued.

        Args:
            batch: The batch that `top` returned.
        """
        top = self.entries[0][2]
        assert top is batch, f'{batch.job} is not first in its queue'
        if batch.tasks:
            batch.entry_id = next(_entry_ids)
            entry = (batch.job.rank_s, batch.entry_id, batch)
            heapq.heapreplace(self.entries, entry)
        else:
            heapq.heappop(self.entries)


class ServiceQueue:
    """The caller queues of one service, ordered by rank."""

    def __init__(self, service: str) -> None:
        """Creates an empty queue.

        Args:
            service: Name of the service.
        """
        self.service = service
        self.caller_queues: dict[str, CallerQueue] = {}
        self._entries: list[tuple[Rank, int, CallerQueue]] = []

    def caller_queue(self, caller: str, share: Share) -> CallerQueue:
        """Returns the queue of a caller, creating it if necessary.

        Args:
            caller: Name of the caller.
            share: Its share within the team.
        """
        caller_queue = self.caller_queues.get(caller)
        if caller_queue is None:
            caller_queue = CallerQueue(self, share)
            self.caller_queues[caller] = caller_queue
        return caller_queue

    def push(self, caller_queue: CallerQueue) -> None:
        """Adds a caller queue under its current rank.

        An earlier entry of the queue becomes outdated.

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
        """Returns the caller queue to serve next, or None."""
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
