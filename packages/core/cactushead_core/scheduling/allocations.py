"""Task state changes: queued, allocated to a slot, released."""

from .model import QueuedTask, UpstreamState
from .order import TaskOrder
from .registry import UpstreamRegistry
from .service import ServiceLoad


class SlotAllocations:
    """Updates task order, upstreams and service counters consistently.

    Every task that is queued, starts or ends passes through this class, so
    that the counters always match the tasks.

    Attributes:
        order: The waiting tasks.
        registry: The upstreams and the tasks that occupy their slots.
        loads: Documents and counters of the services, by name.
    """

    def __init__(self, order: TaskOrder, registry: UpstreamRegistry) -> None:
        """Creates the allocations without services.

        Args:
            order: The waiting tasks.
            registry: The upstreams.
        """
        self.order = order
        self.registry = registry
        self.loads: dict[str, ServiceLoad] = {}

    def enqueue(self, task: QueuedTask) -> None:
        """Adds a task to the queue of its service.

        Args:
            task: The task.
        """
        load = self.loads[task.job.service]
        self.order.add(task, load.estimate_s(task.kind))
        load.add_waiting(task)

    def start(
        self,
        task: QueuedTask,
        load: ServiceLoad,
        state: UpstreamState,
    ) -> None:
        """Allocates a slot to a waiting task, within the limits.

        Args:
            task: The task.
            load: State of its service.
            state: The upstream that will run it.
        """
        limit = load.document.limits.concurrent_tasks
        assert load.running < limit, (
            f'{task.task_id} exceeds {limit} concurrent tasks'
        )
        self.order.dequeue(task, load.estimate_s(task.kind))
        load.remove_waiting(task)
        if load.start_tokens.rate_per_s > 0:
            load.start_tokens.add(-1)
        self._allocate(task, state)

    def add_running(self, task: QueuedTask, state: UpstreamState) -> None:
        """Allocates a slot to a task that already runs.

        Limits don't apply, and a task that has a slot on the upstream is
        left as it is.

        Args:
            task: The task.
            state: The upstream that runs it.
        """
        if task.task_id not in state.tasks:
            self.order.add_running(task)
            self._allocate(task, state)

    def release(self, state: UpstreamState, task_id: str) -> QueuedTask | None:
        """Releases the slot of a task.

        Args:
            state: The upstream that ran it.
            task_id: Id of the task.

        Returns:
            The task, or None if it occupied no slot there.
        """
        task = state.release(task_id)
        if task is None:
            return None
        self.order.remove_running(task)
        load = self.loads.get(task.job.service)
        if load is not None:
            load.running -= 1
            assert load.running >= 0, f'{task_id} ended, running count below 0'
        self.registry.update(state)
        return task

    def count_running(self, service: str) -> int:
        """Returns the number of a service's tasks that occupy slots.

        Scans the tasks of all upstreams.

        Args:
            service: Name of the service.
        """
        return sum(
            task.job.service == service
            for state in self.registry.states.values()
            for task in state.tasks.values()
        )

    def check_invariants(self) -> None:
        """Recounts all tasks and compares the results with the counters.

        Raises:
            AssertionError: A counter is wrong.
        """
        self.registry.check_invariants()
        for service, load in self.loads.items():
            running = self.count_running(service)
            assert load.running == running, (
                f'{service}: {running} tasks running'
            )
            callers = sum(load.waiting_by_caller.values())
            assert load.waiting == callers, (
                f'{service}: {callers} tasks waiting'
            )
        waiting = sum(each.waiting for each in self.loads.values())
        assert waiting == len(self.order), f'{waiting} tasks waiting'

    def _allocate(self, task: QueuedTask, state: UpstreamState) -> None:
        state.allocate(task)
        load = self.loads.get(task.job.service)
        if load is not None:
            load.running += 1
        self.registry.update(state)
