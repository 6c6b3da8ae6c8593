"""Fair queueing over teams and callers, shortest job first per caller.

Explanation:
    Among teams, and among the callers of a team, the share with the lowest
    rank is served next. Among the jobs of a caller, the one with the least
    estimated remaining work is served first, which lowers the mean response
    time. The arrival time is part of the rank, so that smaller jobs can
    overtake a large one for a bounded time only.

    Tasks that fit no upstream now are set aside as unschedulable batches, by
    job and declared size. Each placement pass retries a few of them in
    rotation. So they don't block other tasks, and a pass doesn't scan the
    queue.
"""

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..jobs.model import JobId
from .caller_queues import Batch, CallerQueue, ServiceQueue, WaitingJob
from .model import QueuedTask
from .order import TaskOrder
from .shares import Rank, Share

MAX_RETRIES_PER_PASS = 8


@dataclass(slots=True, eq=False)
class _Team:
    """A team with its share, the shares of its callers and its queues.

    Attributes:
        name: Name of the team.
        share: Share of the team among all teams.
        caller_shares: Shares of its callers within the team, by name.
        system_virtual_time_s: Virtual time of the caller served last.
        service_queues: Queues of its services, by name.
        eligible_queues: Queues of the services that may start tasks in the
            current placement pass.
    """

    name: str
    share: Share = field(default_factory=Share)
    caller_shares: dict[str, Share] = field(default_factory=dict)
    system_virtual_time_s: float = 0.0
    service_queues: dict[str, ServiceQueue] = field(default_factory=dict)
    eligible_queues: list[ServiceQueue] = field(default_factory=list)

    def caller_share(self, name: str) -> Share:
        """Returns the share of a caller, creating it if necessary."""
        share = self.caller_shares.get(name)
        if share is None:
            share = Share()
            self.caller_shares[name] = share
        return share

    def remove_if_idle(self, name: str, share: Share) -> None:
        """Removes a caller without running or waiting tasks."""
        if share.is_idle:
            self.caller_shares.pop(name)
            for service_queue in self.service_queues.values():
                service_queue.caller_queues.pop(name, None)


class FairOrder(TaskOrder):
    """Orders waiting tasks by the fair shares of teams and callers."""

    def __init__(self) -> None:
        """Creates an empty order."""
        super().__init__()
        self._teams: dict[str, _Team] = {}
        self._system_virtual_time_s = 0.0
        self._jobs: dict[JobId, WaitingJob] = {}
        self._unranked: dict[Batch, None] = {}
        self._deferred_queues: list[CallerQueue] = []
        self._unschedulable: deque[Batch] = deque()
        self._eligible_teams: list[tuple[Rank, str, _Team]] = []
        self._candidate: Batch | None = None
        self._last_dequeued: Batch | None = None
        self._last_dequeued_round = 0

    def add_running(self, task: QueuedTask) -> None:
        """Adds a running task to the shares of its team and caller."""
        team = self._team(task.team)
        team.share.running += 1
        team.caller_share(task.caller).running += 1

    def remove_running(self, task: QueuedTask) -> None:
        """Removes an ended task from the shares of its team and caller."""
        team = self._teams[task.team]
        share = team.caller_shares[task.caller]
        team.share.running -= 1
        share.running -= 1
        assert share.running >= 0, f'{task.caller}: running count below 0'
        team.remove_if_idle(task.caller, share)

    def begin_pass(self, services: Iterable[str]) -> None:
        """Starts a placement pass over the given services.

        Queues deferred callers again, retries some unschedulable batches and
        ranks new batches.
        """
        for caller_queue in self._deferred_queues:
            if not caller_queue.entry_id:
                caller_queue.service_queue.push(caller_queue)
        self._deferred_queues.clear()
        for _ in range(min(MAX_RETRIES_PER_PASS, len(self._unschedulable))):
            batch = self._unschedulable.popleft()
            batch.unschedulable = False
            self._unranked[batch] = None
        for batch in self._unranked:
            if batch.tasks:
                self._push_batch(batch)
        self._unranked.clear()
        self._eligible_teams = self._find_eligible_teams(set(services))
        self._candidate = None
        self._last_dequeued = None

    def peek(self) -> QueuedTask | None:
        """Returns the next candidate by rank, or None."""
        batch = self._next_of_same_batch()
        if batch is None:
            batch = self._next_batch()
        self._candidate = batch
        return None if batch is None else batch.tasks[0]

    def skip(self) -> None:
        """Sets the batch of the candidate aside as unschedulable."""
        batch = self._candidate
        if batch is not None and not batch.unschedulable:
            batch.unschedulable = True
            self._unschedulable.append(batch)
        self._candidate = None

    def running_by_caller(self, task: QueuedTask) -> int:
        """Returns how many slots the caller's tasks in the team occupy."""
        return self._teams[task.team].caller_shares[task.caller].running

    def defer_caller(self) -> None:
        """Defers the candidate's caller queue to the next placement pass."""
        caller_queue = self._candidate.job.caller_queue
        caller_queue.entry_id = 0
        self._deferred_queues.append(caller_queue)
        self._candidate = None

    def exclude_service(self, service: str) -> None:
        """Excludes a service from the rest of the placement pass."""
        self._candidate = None
        for _, _, team in self._eligible_teams:
            service_queue = team.service_queues.get(service)
            if service_queue in team.eligible_queues:
                team.eligible_queues.remove(service_queue)

    def _add(self, task: QueuedTask, estimate_s: float) -> None:
        team = self._team(task.team)
        share = team.caller_share(task.caller)
        team.share.add_waiting(self._system_virtual_time_s)
        share.add_waiting(team.system_virtual_time_s)
        job = self._jobs.get(task.job)
        if job is None:
            caller_queue = self._caller_queue(team, task, share)
            job = WaitingJob(caller_queue, task.queued_s, estimate_s)
            self._jobs[task.job] = job
        job.waiting += 1
        batch = job.batch(task)
        if not batch.tasks and not batch.unschedulable:
            self._unranked[batch] = None
        batch.tasks.append(task)

    def _dequeue(self, task: QueuedTask, estimate_s: float) -> None:
        batch = self._candidate
        if batch is not None and batch.tasks[0] is task:
            self._candidate = None
            self._remove(batch, task)
            batch.job.caller_queue.update_top(batch)
            self._last_dequeued = batch
        else:
            batch = self._jobs[task.job].batch(task)
            self._remove(batch, task)
        batch.job.estimate_s = estimate_s
        team = self._teams[task.team]
        share = batch.job.caller_queue.share
        self._last_dequeued_round = share.round
        self._system_virtual_time_s = team.share.virtual_time_s
        team.system_virtual_time_s = share.virtual_time_s
        team.share.start_task(estimate_s)
        share.start_task(estimate_s)

    def _remove_job(self, job: JobId) -> list[QueuedTask]:
        waiting_job = self._jobs.pop(job, None)
        if waiting_job is None:
            return []
        removed: list[QueuedTask] = []
        for batch in waiting_job.batches.values():
            removed.extend(batch.tasks)
            batch.tasks.clear()
        for task in removed:
            team = self._teams[task.team]
            share = team.caller_shares[task.caller]
            team.share.waiting -= 1
            share.waiting -= 1
            team.remove_if_idle(task.caller, share)
        return removed

    def _next_of_same_batch(self) -> Batch | None:
        """Returns the batch of the last dequeued task if it is next again.

        This avoids a search. A dequeued task lowers the rank of its batch, so
        with one eligible team and service the batch stays next until the
        caller's round ends.
        """
        batch = self._last_dequeued
        self._last_dequeued = None
        if batch is None or not batch.tasks or len(self._eligible_teams) != 1:
            return None
        if len(self._eligible_teams[0][2].eligible_queues) != 1:
            return None
        caller_queue = batch.job.caller_queue
        same_round = caller_queue.share.round == self._last_dequeued_round
        # A new estimate may rank another job of the caller first.
        return batch if same_round and caller_queue.top() is batch else None

    def _next_batch(self) -> Batch | None:
        """Returns the first batch of the eligible team with lowest rank."""
        eligible_teams = self._eligible_teams
        while eligible_teams:
            rank, name, team = eligible_teams[0]
            share = team.share
            if share.virtual_time_s != rank[1] and len(eligible_teams) > 1:
                current = (share.round, share.virtual_time_s)
                heapq.heapreplace(eligible_teams, (current, name, team))
                continue
            caller_queue = self._next_caller_queue(team)
            if caller_queue is not None:
                return caller_queue.top()
            heapq.heappop(eligible_teams)
        return None

    def _remove(self, batch: Batch, task: QueuedTask) -> None:
        """Removes a task from its batch, and a job without waiting tasks."""
        if batch.tasks[0] is task:
            batch.tasks.popleft()
        else:
            batch.tasks.remove(task)
        job = batch.job
        job.waiting -= 1
        if not job.waiting:
            self._jobs.pop(task.job)

    def _team(self, name: str) -> _Team:
        """Returns a team, creating it if necessary."""
        team = self._teams.get(name)
        if team is None:
            team = _Team(name)
            self._teams[name] = team
        return team

    def _caller_queue(
        self, team: _Team, task: QueuedTask, share: Share
    ) -> CallerQueue:
        """Returns the queue of a task's service and caller."""
        service = task.job.service
        service_queue = team.service_queues.get(service)
        if service_queue is None:
            service_queue = ServiceQueue(service)
            team.service_queues[service] = service_queue
        return service_queue.caller_queue(task.caller, share)

    def _push_batch(self, batch: Batch) -> None:
        """Ranks a batch, and its caller queue if the batch is first there."""
        caller_queue = batch.job.caller_queue
        caller_queue.push(batch)
        if not caller_queue.entry_id or caller_queue.top() is batch:
            caller_queue.service_queue.push(caller_queue)

    def _find_eligible_teams(
        self,
        services: set[str],
    ) -> list[tuple[Rank, str, _Team]]:
        """Returns a heap of the teams with tasks that may start."""
        eligible_teams: list[tuple[Rank, str, _Team]] = []
        for name, team in self._teams.items():
            if not team.share.waiting:
                continue
            team.eligible_queues = [
                service_queue
                for service, service_queue in team.service_queues.items()
                if service in services
            ]
            if team.eligible_queues:
                rank = (team.share.round, team.share.virtual_time_s)
                eligible_teams.append((rank, name, team))
        heapq.heapify(eligible_teams)
        return eligible_teams

    def _next_caller_queue(self, team: _Team) -> CallerQueue | None:
        """Returns the caller queue of a team to serve next, or None."""
        service_queues = team.eligible_queues
        if len(service_queues) == 1:
            return service_queues[0].top()
        tops = [service_queue.top() for service_queue in service_queues]
        ready = [
            caller_queue for caller_queue in tops if caller_queue is not None
        ]
        return min(
            ready, key=lambda caller_queue: caller_queue.rank, default=None
        )
