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

SMALLEST_PEER_SHARE = 0.02
LARGEST_PEER_SHARE = 0.98
RECENT_WEIGHT = 0.1
COMPARED_PEERS = 16
NEEDED_PEERS = 5
STREAK_OUTCOMES = 64
TRUSTED_RUNS = 12
SLOWNESS_PEERS = 2

KindKey = tuple[str, str]


@dataclass(slots=True)
class RecentOutcomes:
    """Recent outcomes of one upstream on one request kind.

    Attributes:
        failed_share: Exponentially weighted share of failures.
        ended_s: When its last task ended.
        slowness: Exponentially weighted logarithm of the run time over the
            estimate for the kind.
        runs: Successful runs observed.
    """

    failed_share: float = 0.0
    ended_s: float = -math.inf
    slowness: float = 0.0
    runs: int = 0

    def observe(self, now_s: float, *, failed: bool) -> None:
        """Takes one outcome into the share.

        Args:
            now_s: The leader's monotonic clock.
            failed: Whether the task failed.
        """
        self.failed_share += RECENT_WEIGHT * (failed - self.failed_share)
        self.ended_s = now_s

    def observe_run(self, slowness: float) -> None:
        """Takes the duration of one successful run in.

        Args:
            slowness: Logarithm of the run time over the estimate.
        """
        self.runs += 1
        weight = max(RECENT_WEIGHT, 1 / self.runs)
        self.slowness += weight * (slowness - self.slowness)


@dataclass(slots=True)
class StreakCounts:
    """Outcomes of one request kind in a streak.

    Attributes:
        failed: Tasks that failed.
        succeeded: Tasks that succeeded.
    """

    failed: int = 0
    succeeded: int = 0

    def score(self, peer_share: float) -> float:
        """Returns the log likelihood ratio against a peers' failure share.

        Args:
            peer_share: Share of failures of the peers.
        """
        sound = min(LARGEST_PEER_SHARE, max(SMALLEST_PEER_SHARE, peer_share))
        faulty = (1 + sound) / 2
        gain = self.failed * math.log(faulty / sound)
        return gain + self.succeeded * math.log((1 - faulty) / (1 - sound))


@dataclass(slots=True)
class Verdict:
    """Score of a streak as far as the peers' outcomes allow.

    Attributes:
        score: Log likelihood ratio over the kinds that can be compared.
        decided: Whether all kinds can be compared.
        peer_share: Highest share of failures of the peers.
    """

    score: float = 0.0
    decided: bool = True
    peer_share: float = 0.0


@dataclass(slots=True)
class Streak:
    """Outcomes of one upstream from its first failure on.

    Attributes:
        began_s: When the first failure came.
        counts: Outcomes by request kind.
    """

    began_s: float
    counts: dict[KindKey, StreakCounts] = field(default_factory=dict)

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
            counts = StreakCounts()
            self.counts[kind] = counts
        if failed:
            counts.failed += 1
        else:
            counts.succeeded += 1

    def highest_score(self) -> float:
        """Returns the score if the peers had no failures at all."""
        return sum(counts.score(0.0) for counts in self.counts.values())


class PeerEvidence:
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
        shares = self._kinds.get(kind)
        if shares is None:
            shares = {}
            self._kinds[kind] = shares
        share = shares.get(upstream)
        if share is None:
            share = RecentOutcomes()
            shares[upstream] = share
        share.observe(now_s, failed=failed)
        return share

    def forget_upstream(self, upstream: str) -> None:
        """Drops what is known of an upstream.

        Args:
            upstream: Name of the upstream.
        """
        for shares in self._kinds.values():
            shares.pop(upstream, None)

    def keep_kinds(self, service: str, kinds: set[str]) -> None:
        """Drops request kinds that a service's document has no more.

        Args:
            service: Name of the service.
            kinds: Names of its request kinds.
        """
        for key in tuple(self._kinds):
            if key[0] == service and key[1] not in kinds:
                self._kinds.pop(key)

    def weigh(
        self,
        upstream: str,
        streak: Streak,
        peers: int,
        since_s: float,
    ) -> Verdict:
        """Scores a streak against the peers' outcomes.

        Args:
            upstream: Name of the upstream.
            streak: Its streak.
            peers: Number of its peers.
            since_s: Time from which on the peers' outcomes count.
        """
        verdict = Verdict()
        needed = min(NEEDED_PEERS, peers)
        for kind, counts in streak.counts.items():
            shares = self._peer_shares(kind, upstream, since_s)
            if len(shares) < max(1, needed):
                verdict.decided = False
                continue
            peer_share = median(shares)
            verdict.score += counts.score(peer_share)
            verdict.peer_share = max(verdict.peer_share, peer_share)
        return verdict

    def excess_slowness(self, kind: KindKey, upstream: str) -> float:
        """Returns by how much an upstream is slower than its peers' median.

        Args:
            kind: Service and request kind.
            upstream: Name of the upstream.

        Returns:
            A logarithm, 0 with too few peers to tell.
        """
        shares = self._kinds[kind]
        peers = [
            share.slowness
            for name, share in shares.items()
            if name != upstream and share.runs >= TRUSTED_RUNS
        ]
        if len(peers) < SLOWNESS_PEERS:
            return 0.0
        return shares[upstream].slowness - median(peers)

    def _peer_shares(
        self,
        kind: KindKey,
        upstream: str,
        since_s: float,
    ) -> list[float]:
        fresh = (
            share.failed_share
            for name, share in self._kinds.get(kind, {}).items()
            if name != upstream and share.ended_s >= since_s
        )
        return list(islice(fresh, COMPARED_PEERS))
