"""Fair order: teams first, then callers, then the job with least work.

Explanation:
    Among teams, and among the callers of a team, the one whose share has
    the lowest rank is next. Within a caller the job with the least estimated
    remaining work comes first, which shortens the mean response; its arrival
    is part of the rank, so that a large job is overtaken for a bounded time
    only.

    Tasks that fit no upstream now are parked by job and declared size, and a
    few of them are offered again in each turn, in rotation. So they block
    nobody, and a turn costs no scan of the queue.
"""

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..jobs.model import JobId
from .lanes import Batch, Lane, ServiceLanes, WaitingJob
from .model import QueuedTask
from .order import TaskOrder
from .shares import Rank, Share

RETRIED_PER_TURN = 8


@dataclass(slots=True, eq=False)
class _Team:
    """A team's share, its callers and its services.

    Attributes:
        name: Name of the team.
        share: The team's share among teams.
        callers: Shares of its callers within the team.
        floor_s: Virtual time of the caller that was served last.
        queues: Lanes of its services.
        open_queues: Those that may start something in this turn.
    """

    name: str
    share: Share = field(default_factory=Share)
    callers: dict[str, Share] = field(default_factory=dict)
    floor_s: float = 0.0
    queues: dict[str, ServiceLanes] = field(default_factory=dict)
    open_queues: list[ServiceLanes] = field(default_factory=list)

    def caller(self, name: str) -> Share:
        """Returns the share of a caller, made when it is new."""
        share = self.callers.get(name)
        if share is None:
            share = Share()
            self.callers[name] = share
        return share

    def drop_idle(self, name: str, share: Share) -> None:
        """Forgets a caller of whom nothing runs or waits."""
        if share.is_idle:
            self.callers.pop(name)
            for queue in self.queues.values():
                queue.lanes.pop(name, None)


class FairOrder(TaskOrder):
    """Orders waiting tasks by fair shares of teams and callers."""

    def __init__(self) -> None:
        """Starts empty."""
        super().__init__()
        self._teams: dict[str, _Team] = {}
        self._floor_s = 0.0
        self._jobs: dict[JobId, WaitingJob] = {}
        self._unranked: dict[Batch, None] = {}
        self._deferred: list[Lane] = []
        self._parked: deque[Batch] = deque()
        self._turn: list[tuple[Rank, str, _Team]] = []
        self._offer: Batch | None = None
        self._taken: Batch | None = None
        self._taken_round = 0

    def occupy(self, task: QueuedTask) -> None:
        """Counts a running task in its team's and caller's share."""
        team = self._team(task.team)
        team.share.held += 1
        team.caller(task.caller).held += 1

    def release(self, task: QueuedTask) -> None:
        """Takes an ended task out of its team's and caller's share."""
        team = self._teams[task.team]
        share = team.callers[task.caller]
        team.share.held -= 1
        share.held -= 1
        assert share.held >= 0, f'{task.caller} holds less than nothing'
        team.drop_idle(task.caller, share)

    def begin_turn(self, services: Iterable[str]) -> None:
        """Ranks what is new and begins to offer the services' tasks."""
        for lane in self._deferred:
            if not lane.ticket:
                lane.queue.push(lane)
        self._deferred.clear()
        for _ in range(min(RETRIED_PER_TURN, len(self._parked))):
            batch = self._parked.popleft()
            batch.parked = False
            self._unranked[batch] = None
        for batch in self._unranked:
            if batch.tasks:
                self._rank(batch)
        self._unranked.clear()
        self._turn = self._open_teams(set(services))
        self._offer = None
        self._taken = None

    def peek(self) -> QueuedTask | None:
        """Returns the task whose turn it is."""
        batch = self._next_of_same_batch()
        if batch is None:
            batch = self._next_batch()
        self._offer = batch
        return None if batch is None else batch.tasks[0]

    def skip(self) -> None:
        """Parks the offered task and those like it."""
        batch = self._offer
        if batch is not None and not batch.parked:
            batch.parked = True
            self._parked.append(batch)
        self._offer = None

    def held_by_caller(self, task: QueuedTask) -> int:
        """Returns the slots that the caller of a task holds."""
        return self._teams[task.team].callers[task.caller].held

    def defer_caller(self) -> None:
        """Sets the offered task's lane aside until the next turn."""
        lane = self._offer.job.lane
        lane.ticket = 0
        self._deferred.append(lane)
        self._offer = None

    def close(self, service: str) -> None:
        """Offers no more tasks of a service in this turn."""
        self._offer = None
        for _, _, team in self._turn:
            queue = team.queues.get(service)
            if queue in team.open_queues:
                team.open_queues.remove(queue)

    def _add(self, task: QueuedTask, estimate_s: float) -> None:
        team = self._team(task.team)
        share = team.caller(task.caller)
        team.share.note_waiting(self._floor_s)
        share.note_waiting(team.floor_s)
        job = self._jobs.get(task.job)
        if job is None:
            lane = self._lane(team, task, share)
            job = WaitingJob(lane, task.queued_s, estimate_s)
            self._jobs[task.job] = job
        job.waiting += 1
        batch = job.batch(task)
        if not batch.tasks and not batch.parked:
            self._unranked[batch] = None
        batch.tasks.append(task)

    def _take(self, task: QueuedTask, estimate_s: float) -> None:
        batch = self._offer
        if batch is not None and batch.tasks[0] is task:
            self._offer = None
            self._remove(batch, task)
            batch.job.lane.note_taken(batch)
            self._taken = batch
        else:
            batch = self._jobs[task.job].batch(task)
            self._remove(batch, task)
        batch.job.estimate_s = estimate_s
        team = self._teams[task.team]
        share = batch.job.lane.share
        self._taken_round = share.round
        self._floor_s = team.share.served_s
        team.floor_s = share.served_s
        team.share.note_started(estimate_s)
        share.note_started(estimate_s)

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
            share = team.callers[task.caller]
            team.share.waiting -= 1
            share.waiting -= 1
            team.drop_idle(task.caller, share)
        return removed

    def _next_of_same_batch(self) -> Batch | None:
        """Returns the batch that was taken from last if it is next again.

        Its remaining work has shrunk, so with a single team and service it
        is next until its caller's round is over.
        """
        batch = self._taken
        self._taken = None
        if batch is None or not batch.tasks or len(self._turn) != 1:
            return None
        if len(self._turn[0][2].open_queues) != 1:
            return None
        lane = batch.job.lane
        same_round = lane.share.round == self._taken_round
        # A new estimate can put another job of the caller first.
        return batch if same_round and lane.top() is batch else None

    def _next_batch(self) -> Batch | None:
        turn = self._turn
        while turn:
            rank, name, team = turn[0]
            share = team.share
            if share.served_s != rank[1] and len(turn) > 1:
                current = (share.round, share.served_s)
                heapq.heapreplace(turn, (current, name, team))
                continue
            lane = self._next_lane(team)
            if lane is not None:
                return lane.top()
            heapq.heappop(turn)
        return None

    def _remove(self, batch: Batch, task: QueuedTask) -> None:
        if batch.tasks[0] is task:
            batch.tasks.popleft()
        else:
            batch.tasks.remove(task)
        job = batch.job
        job.waiting -= 1
        if not job.waiting:
            self._jobs.pop(task.job)

    def _team(self, name: str) -> _Team:
        team = self._teams.get(name)
        if team is None:
            team = _Team(name)
            self._teams[name] = team
        return team

    def _lane(self, team: _Team, task: QueuedTask, share: Share) -> Lane:
        service = task.job.service
        queue = team.queues.get(service)
        if queue is None:
            queue = ServiceLanes(service)
            team.queues[service] = queue
        return queue.lane(task.caller, share)

    def _rank(self, batch: Batch) -> None:
        lane = batch.job.lane
        lane.push(batch)
        if not lane.ticket or lane.top() is batch:
            lane.queue.push(lane)

    def _open_teams(
        self,
        services: set[str],
    ) -> list[tuple[Rank, str, _Team]]:
        turn: list[tuple[Rank, str, _Team]] = []
        for name, team in self._teams.items():
            if not team.share.waiting:
                continue
            team.open_queues = [
                queue
                for service, queue in team.queues.items()
                if service in services
            ]
            if team.open_queues:
                rank = (team.share.round, team.share.served_s)
                turn.append((rank, name, team))
        heapq.heapify(turn)
        return turn

    def _next_lane(self, team: _Team) -> Lane | None:
        queues = team.open_queues
        if len(queues) == 1:
            return queues[0].top()
        tops = [queue.top() for queue in queues]
        ready = [lane for lane in tops if lane is not None]
        return min(ready, key=lambda lane: lane.rank, default=None)
