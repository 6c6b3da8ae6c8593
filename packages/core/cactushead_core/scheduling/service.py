"""Scheduling state of one service: its document, counters and limits."""

from dataclasses import dataclass, field

from ..documents.model import RequestKind, ServiceDocument
from .estimates import DEFAULT_RUN_S, RunTimeEstimate
from .model import QueuedTask
from .pool import UpstreamPool
from .rates import DrainRate, TokenBucket
from .restarts import RestartBudget

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
UNKNOWN_RATE_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class ServiceLoad:
    """A service's current document, pool, counters and estimates.

    Attributes:
        document: The document in force.
        pool: Upstreams that match its selector.
        running: Number of tasks that occupy slots.
        waiting: Number of waiting tasks.
        waiting_by_caller: Number of waiting tasks, by caller.
        start_tokens: Rate limit of task starts.
        drain_rate: Observed rate at which tasks leave the queue.
        restarts: Budget of restarts.
        kinds: Request kinds of the document, by name.
        estimates: Run time estimates of the request kinds, by name.
    """

    document: ServiceDocument
    pool: UpstreamPool
    running: int = 0
    waiting: int = 0
    waiting_by_caller: dict[str, int] = field(default_factory=dict)
    start_tokens: TokenBucket = field(default_factory=TokenBucket)
    drain_rate: DrainRate = field(default_factory=DrainRate)
    restarts: RestartBudget = field(default_factory=RestartBudget)
    kinds: dict[str, RequestKind] = field(default_factory=dict)
    estimates: dict[str, RunTimeEstimate] = field(default_factory=dict)

    @property
    def may_start(self) -> bool:
        """Whether the limits and the free capacity allow a start now."""
        return (
            self.pool.free_capacity > 0
            and self.running < self.document.limits.concurrent_tasks
            and (
                self.start_tokens.rate_per_s <= 0
                or self.start_tokens.tokens >= 1
            )
        )

    def apply_document(
        self,
        document: ServiceDocument,
        pool: UpstreamPool,
        now_s: float,
    ) -> None:
        """Applies a document; running and waiting tasks are kept.

        Args:
            document: The document.
            pool: Upstreams that match its selector.
            now_s: Current time on the leader's monotonic clock.
        """
        self.document = document
        self.pool = pool
        self.kinds = {kind.name: kind for kind in document.requests}
        self.estimates = {
            kind.name: self.estimates.get(kind.name)
            or RunTimeEstimate(kind.timeout_s)
            for kind in document.requests
        }
        self.start_tokens.refill(now_s)
        self.start_tokens.rate_per_s = document.limits.starts_per_s
        self.start_tokens.add(0)

    def estimate_s(self, kind: str) -> float:
        """Returns the expected run time of a task.

        Args:
            kind: Request kind; for one that the document no longer has, the
                default is returned.
        """
        estimate = self.estimates.get(kind)
        return DEFAULT_RUN_S if estimate is None else estimate.value_s

    def add_waiting(self, task: QueuedTask) -> None:
        """Counts a task that was queued.

        Args:
            task: The task.
        """
        self.waiting += 1
        count = self.waiting_by_caller.get(task.caller, 0)
        self.waiting_by_caller[task.caller] = count + 1

    def remove_waiting(self, task: QueuedTask) -> None:
        """Stops counting a task that left the queue.

        Args:
            task: The task.
        """
        self.waiting -= 1
        count = self.waiting_by_caller[task.caller] - 1
        if count:
            self.waiting_by_caller[task.caller] = count
        else:
            self.waiting_by_caller.pop(task.caller)
        assert self.waiting >= 0, f'{task.task_id}: waiting count below 0'

    def estimate_retry_after_s(self, tasks: int, now_s: float) -> float:
        """Returns the expected time until a number of tasks leave the queue.

        Args:
            tasks: Tasks that must leave the queue first.
            now_s: Current time on the leader's monotonic clock.
        """
        rate_per_s = self.drain_rate.rate_at(now_s)
        if rate_per_s <= 0:
            return UNKNOWN_RATE_RETRY_AFTER_S
        wait_s = tasks / rate_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
