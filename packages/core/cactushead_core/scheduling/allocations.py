"""The one place where tasks begin to wait, take slots and free them."""

from .model import QueuedTask, UpstreamState
from .order import TaskOrder
from .registry import UpstreamRegistry
from .service import ServiceLoad


class SlotAllocations:
    """Keeps order, upstreams and service loads in step.

    Attributes:
        order: The waiting tasks.
        registry: The upstreams with the tasks that occupy their slots.
        loads: Services by name.
    """

    def __init__(self, order: TaskOrder, registry: UpstreamRegistry) -> None:
        """Starts without services.

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
        """Moves a waiting task to a slot, as limits allow.

        Args:
            task: The task.
            load: Its service.
            state: The upstream that it goes to.
        """
        limit = load.document.limits.concurrent_tasks
        assert load.running < limit, f'{task.task_id} breaks {limit}'
        self.order.dequeue(task, load.estimate_s(task.kind))
        load.remove_waiting(task)
        if load.start_tokens.rate_per_s > 0:
            load.start_tokens.add(-1)
        self._allocate(task, state)

    def add_running(self, task: QueuedTask, state: UpstreamState) -> None:
        """Books a slot for a task that runs already, above limits too.

        Args:
            task: The task.
            state: The upstream that has it.
        """
        if task.task_id not in state.tasks:
            self.order.add_running(task)
            self._allocate(task, state)

    def release(self, state: UpstreamState, task_id: str) -> QueuedTask | None:
        """Frees the slot of a task.

        Args:
            state: The upstream that had it.
            task_id: Id of the task.

        Returns:
            The task, or None when it occupied no slot there.
        """
        task = state.release(task_id)
        if task is None:
            return None
        self.order.remove_running(task)
        load = self.loads.get(task.job.service)
        if load is not None:
            load.running -= 1
            assert load.running >= 0, f'{task_id} ended but none was running'
        self.registry.update(state)
        return task

    def count_running(self, service: str) -> int:
        """Returns the tasks of a service that occupy slots; scans all.

        Args:
            service: Name of the service.
        """
        return sum(
            task.job.service == service
            for state in self.registry.states.values()
            for task in state.tasks.values()
        )

    def check_invariants(self) -> None:
        """Checks the counts against each other; scans all.

        Raises:
            AssertionError: A count doesn't match what it counts.
        """
        self.registry.check_invariants()
        for service, load in self.loads.items():
            running = self.count_running(service)
            assert load.running == running, f'{service}: {running} running'
            callers = sum(load.waiting_by_caller.values())
            assert load.waiting == callers, f'{service}: {callers} waiting'
        waiting = sum(each.waiting for each in self.loads.values())
        assert waiting == len(self.order), f'{waiting} tasks wait'

    def _allocate(self, task: QueuedTask, state: UpstreamState) -> None:
        state.allocate(task)
        load = self.loads.get(task.job.service)
        if load is not None:
            load.running += 1
        self.registry.update(state)
