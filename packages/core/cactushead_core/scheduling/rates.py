"""Rates of starts: the limit of a document and the observed rate."""

import math
from dataclasses import dataclass

# A leader change or an idle spell allows no more than this much at once.
BURST_S = 0.1
DRAIN_TIME_CONSTANT_S = 5.0
NEVER_S = math.inf


@dataclass(slots=True)
class TokenBucket:
    """Limits starts to a rate, with a small burst.

    Examples:
        >>> bucket = TokenBucket(rate_per_s=20.0)
        >>> bucket.refill(now_s=1.0)
        >>> bucket.tokens
        2.0

    Attributes:
        rate_per_s: Starts a second, 0 for no limit.
        tokens: Starts that are allowed now.
        updated_s: When the tokens were counted.
    """

    rate_per_s: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0

    @property
    def burst(self) -> float:
        """Most tokens that are saved up."""
        return max(1.0, self.rate_per_s * BURST_S)

    @property
    def allows_start(self) -> bool:
        """Whether a start is allowed now."""
        return self.rate_per_s <= 0 or self.tokens >= 1

    def refill(self, now_s: float) -> None:
        """Adds the tokens of the time that passed.

        Args:
            now_s: The leader's monotonic clock.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_s = now_s

    def add(self, starts: float) -> None:
        """Gives tokens back, or takes them when negative.

        Args:
            starts: Number of starts.
        """
        self.tokens = min(self.burst, self.tokens + starts)

    def next_start_s(self) -> float:
        """Returns when the next start is allowed, infinity for no limit."""
        if self.rate_per_s <= 0:
            return NEVER_S
        return self.updated_s + max(0.0, 1 - self.tokens) / self.rate_per_s


@dataclass(slots=True)
class DrainRate:
    """Observed rate at which tasks leave a queue, decaying over seconds.

    Attributes:
        rate_per_s: The rate when it was last updated.
        updated_s: When that was.
    """

    rate_per_s: float = 0.0
    updated_s: float = 0.0

    def add(self, tasks: int, now_s: float) -> None:
        """Notes tasks that left the queue.

        Args:
            tasks: How many.
            now_s: The leader's monotonic clock.
        """
        self.rate_per_s = self.rate_at(now_s) + tasks / DRAIN_TIME_CONSTANT_S
        self.updated_s = now_s

    def rate_at(self, now_s: float) -> float:
        """Returns the rate now.

        Args:
            now_s: The leader's monotonic clock.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.rate_per_s * math.exp(-elapsed_s / DRAIN_TIME_CONSTANT_S)
