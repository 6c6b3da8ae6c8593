"""Evidence on whether an upstream fails more than its peers.

Explanation:
    A streak collects the outcomes of one upstream from its first failure on.
    Its score is the logarithm of a likelihood ratio, a sequential test after
    Wald (1945) and Page (1954): how much better a failure rate halfway to
    one explains the streak than the rate of the peers on the same request
    kind in the same time. A kind that fails everywhere has a high rate at
    the peers, so it adds nothing to the score of any upstream.

    The rate of the peers is the median over upstreams, not over tasks: an
    upstream that fails fast ends many more tasks than a sound one.
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
MIN_RUNS = 12
MIN_SLOWDOWN_PEERS = 2

KindKey = tuple[str, str]


@dataclass(slots=True)
class RecentOutcomes:
    """Recent outcomes of one upstream on one request kind.

    Attributes:
        failed_share: Exponentially weighted share of failures.
        ended_s: When its last task ended.
        log_slowdown: Exponentially weighted logarithm of the run time over the
            estimate for the kind.
        runs: Successful runs observed.
    """

    failure_rate: float = 0.0
    last_ended_s: float = -math.inf
    log_slowdown: float = 0.0
    runs: int = 0

    def observe(self, now_s: float, *, failed: bool) -> None:
        """Takes one outcome into the share.

        Args:
            now_s: The leader's monotonic clock.
            failed: Whether the task failed.
        """
        self.failure_rate += RECENT_OUTCOME_WEIGHT * (
            failed - self.failure_rate
        )
        self.last_ended_s = now_s

    def observe_run(self, log_slowdown: float) -> None:
        """Takes the duration of one successful run in.

        Args:
            log_slowdown: Logarithm of the run time over the estimate.
        """
        self.runs += 1
        weight = max(RECENT_OUTCOME_WEIGHT, 1 / self.runs)
        self.log_slowdown += weight * (log_slowdown - self.log_slowdown)


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of one request kind in a streak.

    Attributes:
        failed: Tasks that failed.
        succeeded: Tasks that succeeded.
    """

    failed: int = 0
    succeeded: int = 0

    def score(self, peer_failure_rate: float) -> float:
        """Returns the log likelihood ratio against a peers' failure share.

        Args:
            peer_failure_rate: Share of failures of the peers.
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
    """Score of a streak as far as the peers' outcomes allow.

    Attributes:
        score: Log likelihood ratio over the kinds that can be compared.
        decided: Whether all kinds can be compared.
        peer_share: Highest share of failures of the peers.
    """

    score: float = 0.0
    conclusive: bool = True
    peer_failure_rate: float = 0.0


@dataclass(slots=True)
class FailureTest:
    """Outcomes of one upstream from its first failure on.

    Attributes:
        began_s: When the first failure came.
        counts: Outcomes by request kind.
    """

    started_s: float
    counts: dict[KindKey, OutcomeCounts] = field(default_factory=dict)

    @property
    def failed(self) -> int:
        """Tasks that failed."""
        return sum(counts.failed for counts in self.counts.values())

    @property
    def ended(self) -> int:
        """Tasks that failed or succeeded."""
        return self.failed + sum(
            counts.succeeded for counts in self.counts.values()
        )

    def add(self, kind: KindKey, *, failed: bool) -> None:
        """Takes one outcome into the streak.

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
        """Returns the score if the peers had no failures at all."""
        return sum(counts.score(0.0) for counts in self.counts.values())


class PeerStatistics:
    """Recent shares of failures by request kind and upstream."""

    def __init__(self) -> None:
        """Starts without outcomes."""
        self._kinds: dict[KindKey, dict[str, RecentOutcomes]] = {}

    def observe(
        self,
        kind: KindKey,
        upstream: str,
        now_s: float,
        *,
        failed: bool,
    ) -> RecentOutcomes:
        """Takes one outcome in.

        Args:
            kind: Service and request kind.
            upstream: Name of the upstream.
            now_s: The leader's monotonic clock.
            failed: Whether the task failed.

        Returns:
            The upstream's recent outcomes on the kind.
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
        """Drops what is known of an upstream.

        Args:
            upstream: Name of the upstream.
        """
        for outcomes in self._kinds.values():
            outcomes.pop(upstream, None)

    def retain_kinds(self, service: str, kinds: set[str]) -> None:
        """Drops request kinds that a service's document has no more.

        Args:
            service: Name of the service.
            kinds: Names of its request kinds.
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
        """Scores a streak against the peers' outcomes.

        Args:
            upstream: Name of the upstream.
            failure_test: Its test.
            peers: Number of its peers.
            since_s: Time from which on the peers' outcomes count.
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
        """Returns by how much an upstream is slower than its peers' median.

        Args:
            kind: Service and request kind.
            upstream: Name of the upstream.

        Returns:
            A logarithm, 0 with too few peers to tell.
        """
        outcomes = self._kinds[kind]
        peers = [
            recent.log_slowdown
            for name, recent in outcomes.items()
            if name != upstream and recent.runs >= MIN_RUNS
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
        fresh = (
            recent.failure_rate
            for name, recent in self._kinds.get(kind, {}).items()
            if name != upstream and recent.last_ended_s >= since_s
        )
        return list(islice(fresh, MAX_COMPARED_PEERS))
