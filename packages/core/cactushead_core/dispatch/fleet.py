"""What an entry knows of the agents and their upstreams."""

from collections import deque
from dataclasses import dataclass, field

from ..tasks import Resources, TaskRef, UpstreamLoad, UpstreamReport

# Weight of the newest run in an upstream's slowness: the last ten count.
SLOWNESS_WEIGHT = 0.1
LEAST_SLOWNESS = 0.25
MOST_SLOWNESS = 8.0
# Weight of the newest end in the share of failures: the last five count.
FAILING_WEIGHT = 0.2
# Evidence of failures halves in this time, so that a task tries again while
# an outage of some seconds lasts and soon after it.
FAILING_HALF_LIFE_S = 2.0


@dataclass(slots=True)
class AgentView:
    """One agent as an entry sees it.

    Attributes:
        name: Name of the agent.
        connected: Whether its link is up.
        lost_s: When its link went down.
        session: Session of its last report, 0 before the first.
        service: Service of its upstream.
        ready: Whether tasks may be offered.
        capacity: Room of the upstream.
        labels: Labels of the upstream.
        booked_cpu_m: Processor room that is taken, by its last word.
        booked_memory_mb: Memory that is taken.
        queued_cpu_m: Processor need of its queue.
        typical_s: Mean run time there of late.
        offers: Number of the newest offer to it in the session.
        unseen: Offers that its last word doesn't count: number and
            processor need.
        unseen_cpu_m: Sum of these needs.
        tasks: Tasks of this entry that it has or may have.
        slowness: Run times there as a multiple of what was expected.
        failing: Share of its newest runs that failed.
        failing_at_s: When that was last observed.
    """

    name: str
    connected: bool = False
    lost_s: float = 0.0
    session: int = 0
    service: str = ''
    ready: bool = False
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    booked_cpu_m: int = 0
    booked_memory_mb: int = 0
    queued_cpu_m: int = 0
    mean_run_s: float = 0.0
    offers: int = 0
    unseen: deque[tuple[int, int]] = field(default_factory=deque)
    unseen_cpu_m: int = 0
    tasks: set[TaskRef] = field(default_factory=set)
    slowness: float = 1.0
    failing: float = 0.0
    failing_at_s: float = 0.0

    @property
    def load_cpu_m(self) -> int:
        """Processor need of all that it runs, queues or was just offered."""
        return self.booked_cpu_m + self.queued_cpu_m + self.unseen_cpu_m

    @property
    def usable(self) -> bool:
        """Whether tasks may be offered to it now."""
        return self.connected and self.ready and self.session > 0

    def start_session(self, report: UpstreamReport) -> None:
        """Takes the beginning of a session."""
        self.session = report.session
        self.service = report.service
        self.ready = report.ready
        self.capacity = report.capacity
        self.labels = report.labels
        self.offers = 0
        self.unseen.clear()
        self.unseen_cpu_m = 0

    def update_load(self, load: UpstreamLoad) -> None:
        """Takes the agent's word on its load."""
        self.booked_cpu_m = load.allocated.cpu_m
        self.booked_memory_mb = load.allocated.memory_mb
        self.queued_cpu_m = load.queued_cpu_m
        self.mean_run_s = load.mean_run_s
        while self.unseen and self.unseen[0][0] <= load.offers:
            self.unseen_cpu_m -= self.unseen.popleft()[1]

    def crowded(self) -> None:
        """Takes it as full until its next word."""
        self.booked_cpu_m = max(self.booked_cpu_m, self.capacity.cpu_m)

    def offered(self, tasks: list[TaskRef], cpu_m: int) -> int:
        """Notes an offer and returns its number.

        Args:
            tasks: The tasks.
            cpu_m: Processor need of them all.
        """
        self.offers += 1
        self.unseen.append((self.offers, cpu_m))
        self.unseen_cpu_m += cpu_m
        self.tasks.update(tasks)
        return self.offers

    def observe_end(self, now_s: float, *, failed: bool) -> None:
        """Learns from the end of a run.

        Args:
            now_s: The process's clock.
            failed: Whether it failed.
        """
        share = self.failing_share(now_s)
        newest = 1.0 if failed else 0.0
        self.failing = share + FAILING_WEIGHT * (newest - share)
        self.failing_at_s = now_s

    def failing_share(self, now_s: float) -> float:
        """Returns the share of runs that are expected to fail.

        Args:
            now_s: The process's clock.
        """
        age_s = now_s - self.failing_at_s
        return self.failing * 0.5 ** (age_s / FAILING_HALF_LIFE_S)

    def ran(self, ran_s: float, expected_s: float) -> None:
        """Learns from a run that is done.

        Args:
            ran_s: Its run time.
            expected_s: What was expected at a usual upstream.
        """
        if expected_s <= 0:
            return
        ratio = min(max(ran_s / expected_s, LEAST_SLOWNESS), MOST_SLOWNESS)
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
