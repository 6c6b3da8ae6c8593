"""Statistics on whether an upstream fails more often than its peers.

Explanation:
    A failure test collects the outcomes of one upstream from its first
    failure on. It is a sequential test after Wald (1945) and Page (1954).
    Its score is the log likelihood ratio of two hypotheses: that the upstream
    has the failure rate of its peers on the same request kind in the same
    period (null rate), and that its rate is halfway between that and 1
    (alternative rate). A kind that fails on all upstreams has a high peer
    rate, so its failures add little to the score of any upstream.

    The peer rate is the median over upstreams, not over tasks, because an
    upstream that fails fast completes many more tasks than a healthy one.
"""

import math
from dataclasses import dataclass, field
from itertools import islice
from statistics import median

MIN_FAILURE_RATE = 0.02
MAX_FAILURE_RATE = 0.98
RECENT_OUTCOME_WEIGHT = 0.1
MAX_COMPARED_PEERS = 16
MIN_PEERS = 5
MAX_TEST_OUTCOMES = 64
MIN_SLOWDOWN_RUNS = 12
MIN_SLOWDOWN_PEERS = 2

KindKey = tuple[str, str]


@dataclass(slots=True)
class RecentOutcomes:
    """Recent outcomes of one upstream on one request kind.

    Attributes:
        failure_rate: Exponentially weighted failure rate.
        last_ended_s: When its last task ended.
        log_slowdown: Exponentially weighted mean of the logarithm of run time
            over estimate.
        runs: Number of successful runs observed.
    """

    failure_rate: float = 0.0
    last_ended_s: float = -math.inf
    log_slowdown: float = 0.0
    runs: int = 0

    def observe(self, now_s: float, *, failed: bool) -> None:
        """Updates the failure rate with one outcome.

        Args:
            now_s: Current time on the leader's monotonic clock.
            failed: Whether the task failed.
        """
        self.failure_rate += RECENT_OUTCOME_WEIGHT * (
            failed - self.failure_rate
        )
        self.last_ended_s = now_s

    def observe_run(self, log_slowdown: float) -> None:
        """Updates the mean slowdown with one successful run.

        Args:
            log_slowdown: Logarithm of the run time over the estimate.
        """
        self.runs += 1
        weight = max(RECENT_OUTCOME_WEIGHT, 1 / self.runs)
        self.log_slowdown += weight * (log_slowdown - self.log_slowdown)


@dataclass(slots=True)
class OutcomeCounts:
    """Outcome counts of one request kind in a failure test.

    Attributes:
        failed: Number of failed tasks.
        succeeded: Number of successful tasks.
    """

    failed: int = 0
    succeeded: int = 0

    def score(self, peer_failure_rate: float) -> float:
        """Returns the log likelihood ratio against the peers' failure rate.

        Args:
            peer_failure_rate: Failure rate of the peers.
        """
        null_rate = min(
            MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, peer_failure_rate)
        )
        alternative_rate = (1 + null_rate) / 2
        failure_score = self.failed * math.log(alternative_rate / null_rate)
        return failure_score + self.succeeded * math.log(
            (1 - alternative_rate) / (1 - null_rate)
        )


@dataclass(slots=True)
class PeerComparison:
    """Score of a failure test against the peers' outcomes.

    Attributes:
        score: Sum of the log likelihood ratios of the kinds for which enough
            peers have outcomes.
        conclusive: Whether that holds for all kinds of the test.
        peer_failure_rate: Highest failure rate of the peers on any kind.
    """

    score: float = 0.0
    conclusive: bool = True
    peer_failure_rate: float = 0.0


@dataclass(slots=True)
class FailureTest:
    """Outcomes of one upstream from its first failure on.

    Attributes:
        started_s: When the first failure occurred.
        counts: Outcome counts by request kind.
    """

    started_s: float
    counts: dict[KindKey, OutcomeCounts] = field(default_factory=dict)

    @property
    def failed(self) -> int:
        """Number of failed tasks."""
        return sum(counts.failed for counts in self.counts.values())

    @property
    def ended(self) -> int:
        """Number of failed and successful tasks."""
        return self.failed + sum(
            counts.succeeded for counts in self.counts.values()
        )

    def add(self, kind: KindKey, *, failed: bool) -> None:
        """Adds one outcome to the test.

        Args:
            kind: Service and request kind.
            failed: Whether the task failed.
        """
        counts = self.counts.get(kind)
        if counts is None:
            counts = OutcomeCounts()
            self.counts[kind] = counts
        if failed:
            counts.failed += 1
        else:
            counts.succeeded += 1

    def max_score(self) -> float:
        """Returns the score against peers without failures, an upper bound."""
        return sum(counts.score(0.0) for counts in self.counts.values())


class PeerStatistics:
    """Recent outcomes by request kind and upstream."""

    def __init__(self) -> None:
        """Creates empty statistics."""
        self._kinds: dict[KindKey, dict[str, RecentOutcomes]] = {}

    def observe(
        self,
        kind: KindKey,
        upstream: str,
        now_s: float,
        *,
        failed: bool,
    ) -> RecentOutcomes:
        """Adds one outcome.

        Args:
            kind: Service and request kind.
            upstream: Name of the upstream.
            now_s: Current time on the leader's monotonic clock.
            failed: Whether the task failed.

        Returns:
            The upstream's recent outcomes on the request kind.
        """
        outcomes = self._kinds.get(kind)
        if outcomes is None:
            outcomes = {}
            self._kinds[kind] = outcomes
        recent = outcomes.get(upstream)
        if recent is None:
            recent = RecentOutcomes()
            outcomes[upstream] = recent
        recent.observe(now_s, failed=failed)
        return recent

    def discard_outcomes(self, upstream: str) -> None:
        """Removes the outcomes of an upstream.

        Args:
            upstream: Name of the upstream.
        """
        for outcomes in self._kinds.values():
            outcomes.pop(upstream, None)

    def retain_kinds(self, service: str, kinds: set[str]) -> None:
        """Removes the outcomes of request kinds that no longer exist.

        Args:
            service: Name of the service.
            kinds: Names of the request kinds in its current document.
        """
        for key in tuple(self._kinds):
            if key[0] == service and key[1] not in kinds:
                self._kinds.pop(key)

    def compare(
        self,
        upstream: str,
        failure_test: FailureTest,
        peers: int,
        since_s: float,
    ) -> PeerComparison:
        """Scores a failure test against the peers' recent outcomes.

        Args:
            upstream: Name of the upstream.
            failure_test: Its failure test.
            peers: Number of its peers.
            since_s: Peers without an outcome since this time are ignored.
        """
        comparison = PeerComparison()
        min_peers = min(MIN_PEERS, peers)
        for kind, counts in failure_test.counts.items():
            rates = self._peer_failure_rates(kind, upstream, since_s)
            if len(rates) < max(1, min_peers):
                comparison.conclusive = False
                continue
            peer_failure_rate = median(rates)
            comparison.score += counts.score(peer_failure_rate)
            comparison.peer_failure_rate = max(
                comparison.peer_failure_rate, peer_failure_rate
            )
        return comparison

    def excess_log_slowdown(self, kind: KindKey, upstream: str) -> float:
        """Returns an upstream's log slowdown minus the median of its peers.

        Args:
            kind: Service and request kind.
            upstream: Name of the upstream.

        Returns:
            A difference of logarithms, 0 if too few peers have enough runs.
        """
        outcomes = self._kinds[kind]
        peers = [
            recent.log_slowdown
            for name, recent in outcomes.items()
            if name != upstream and recent.runs >= MIN_SLOWDOWN_RUNS
        ]
        if len(peers) < MIN_SLOWDOWN_PEERS:
            return 0.0
        return outcomes[upstream].log_slowdown - median(peers)

    def _peer_failure_rates(
        self,
        kind: KindKey,
        upstream: str,
        since_s: float,
    ) -> list[float]:
        """Returns failure rates of peers that ended a task since a time."""
        fresh = (
            recent.failure_rate
            for name, recent in self._kinds.get(kind, {}).items()
            if name != upstream and recent.last_ended_s >= since_s
        )
        return list(islice(fresh, MAX_COMPARED_PEERS))
