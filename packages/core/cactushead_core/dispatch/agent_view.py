"""An entry's view of the agents and their upstreams."""

from collections import deque
from dataclasses import dataclass, field

from ..tasks import Resources, TaskRef, UpstreamLoad, UpstreamReport

# Weight of a new sample in `run_time_ratio`; about the last 10 runs count.
RUN_TIME_RATIO_WEIGHT = 0.1
MIN_RUN_TIME_RATIO = 0.25
MAX_RUN_TIME_RATIO = 8.0
# Weight of a new sample in the failure rate; about the last 5 runs count.
FAILURE_WEIGHT = 0.2
# The failure rate decays with this half-life, so that an upstream is tried
# again during an outage of some seconds and soon after it.
FAILURE_HALF_LIFE_S = 2.0


@dataclass(slots=True)
class AgentView:
    """State of one agent as known to an entry.

    Attributes:
        name: Name of the agent.
        connected: Whether the link to the agent is up.
        lost_s: Time at which the link was lost.
        session: Session of the agent's last report, 0 before the first.
        service: Service of the agent's upstream, of the last one if it has
            none.
        ready: Whether tasks may be offered.
        evacuated: Whether the data centre of the agent is evacuated.
        capacity: Total resources of the same upstream.
        labels: Labels of the same upstream.
        allocated_cpu_m: Allocated processor capacity in the last load report,
            in thousandths of a core.
        allocated_memory_mb: Allocated memory in the last load report.
        queued_cpu_m: Processor demand of the agent's queue.
        mean_run_s: Moving average of the run times at the upstream.
        last_offer: Number of the last offer in the session.
        uncounted_offers: Offers that the last load report doesn't include,
            as pairs of number and processor demand.
        uncounted_cpu_m: Total processor demand of these offers.
        tasks: Tasks of this entry that the agent has or may have.
        run_time_ratio: Moving average of measured divided by expected run
            times.
        failure_rate: Moving average of failed runs, between 0 and 1.
        failure_rate_at_s: Time of the last update of `failure_rate`.
    """

    name: str
    connected: bool = False
    lost_s: float = 0.0
    session: int = 0
    service: str = ''
    ready: bool = False
    evacuated: bool = False
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    allocated_cpu_m: int = 0
    allocated_memory_mb: int = 0
    queued_cpu_m: int = 0
    mean_run_s: float = 0.0
    last_offer: int = 0
    uncounted_offers: deque[tuple[int, int]] = field(default_factory=deque)
    uncounted_cpu_m: int = 0
    tasks: set[TaskRef] = field(default_factory=set)
    run_time_ratio: float = 1.0
    failure_rate: float = 0.0
    failure_rate_at_s: float = 0.0

    @property
    def load_cpu_m(self) -> int:
        """Processor demand of the allocated, queued and newly offered tasks."""
        return self.allocated_cpu_m + self.queued_cpu_m + self.uncounted_cpu_m

    @property
    def usable(self) -> bool:
        """Whether tasks may be offered to the agent now."""
        return (
            self.connected
            and self.ready
            and self.session > 0
            and not self.evacuated
        )

    def start_session(self, report: UpstreamReport) -> None:
        """Starts a session with the state of the upstream.

        Explanation:
            An upstream of another kind is another machine, so estimates of the
            one before don't hold for it.

        Args:
            report: The report that starts the session.
        """
        self.session = report.session
        self.ready = report.ready
        if report.service:
            if self._describes_another(report):
                self.run_time_ratio = 1.0
                self.failure_rate = 0.0
            self.service = report.service
            self.capacity = report.capacity
            self.labels = report.labels
        self.last_offer = 0
        self.uncounted_offers.clear()
        self.uncounted_cpu_m = 0

    def _describes_another(self, report: UpstreamReport) -> bool:
        known = (self.service, self.capacity, self.labels)
        return known != (report.service, report.capacity, report.labels)

    def update_load(self, load: UpstreamLoad) -> None:
        """Updates the load and drops the offers that it includes.

        Args:
            load: The load report.
        """
        self.allocated_cpu_m = load.allocated.cpu_m
        self.allocated_memory_mb = load.allocated.memory_mb
        self.queued_cpu_m = load.queued_cpu_m
        self.mean_run_s = load.mean_run_s
        while (
            self.uncounted_offers and self.uncounted_offers[0][0] <= load.offers
        ):
            self.uncounted_cpu_m -= self.uncounted_offers.popleft()[1]

    def mark_full(self) -> None:
        """Treats the upstream as full until the next load report."""
        self.allocated_cpu_m = max(self.allocated_cpu_m, self.capacity.cpu_m)

    def add_offer(self, tasks: list[TaskRef], cpu_m: int) -> int:
        """Records an offer and returns its sequence number.

        Args:
            tasks: The offered tasks.
            cpu_m: Their total processor demand.
        """
        self.last_offer += 1
        self.uncounted_offers.append((self.last_offer, cpu_m))
        self.uncounted_cpu_m += cpu_m
        self.tasks.update(tasks)
        return self.last_offer

    def observe_result(self, now_s: float, *, failed: bool) -> None:
        """Updates the failure rate with the result of a run.

        Args:
            now_s: The monotonic clock of the process.
            failed: Whether the run failed.
        """
        rate = self.expected_failure_rate(now_s)
        newest = 1.0 if failed else 0.0
        self.failure_rate = rate + FAILURE_WEIGHT * (newest - rate)
        self.failure_rate_at_s = now_s

    def expected_failure_rate(self, now_s: float) -> float:
        """Returns the failure rate, decayed since its last update.

        Args:
            now_s: The monotonic clock of the process.
        """
        age_s = now_s - self.failure_rate_at_s
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def observe_run_time(self, ran_s: float, expected_s: float) -> None:
        """Updates the run time ratio with a completed run.

        Args:
            ran_s: Measured run time.
            expected_s: Run time expected at an average upstream.
        """
        if expected_s <= 0:
            return
        ratio = min(
            max(ran_s / expected_s, MIN_RUN_TIME_RATIO), MAX_RUN_TIME_RATIO
        )
        self.run_time_ratio += RUN_TIME_RATIO_WEIGHT * (
            ratio - self.run_time_ratio
        )
