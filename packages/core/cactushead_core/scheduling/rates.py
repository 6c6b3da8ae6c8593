"""Rate limit of task starts and observed rate of the queue."""

import math
from dataclasses import dataclass

# Time for which unused tokens accumulate. It limits the burst of starts after a
# leader change or an idle period.
BURST_S = 0.1
DRAIN_TIME_CONSTANT_S = 5.0
NEVER_S = math.inf


@dataclass(slots=True)
class TokenBucket:
    """Token bucket that limits the rate of task starts.

    Examples:
        >>> bucket = TokenBucket(rate_per_s=20.0)
        >>> bucket.refill(now_s=1.0)
        >>> bucket.tokens
        2.0

    Attributes:
        rate_per_s: Starts per second, 0 for no limit.
        tokens: Number of starts allowed now.
        updated_s: When the tokens were last refilled.
    """

    rate_per_s: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0

    @property
    def burst(self) -> float:
        """Largest number of tokens that can accumulate."""
        return max(1.0, self.rate_per_s * BURST_S)

    @property
    def allows_start(self) -> bool:
        """Whether a start is allowed now."""
        return self.rate_per_s <= 0 or self.tokens >= 1

    def refill(self, now_s: float) -> None:
        """Adds the tokens for the time since the last refill.

        Args:
            now_s: Current time on the leader's monotonic clock.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_s = now_s

    def add(self, starts: float) -> None:
        """Adds tokens, up to the burst size.

        Args:
            starts: Number of tokens, negative to consume them.
        """
        self.tokens = min(self.burst, self.tokens + starts)

    def next_start_s(self) -> float:
        """Returns when the next start is allowed, infinity without a limit."""
        if self.rate_per_s <= 0:
            return NEVER_S
        return self.updated_s + max(0.0, 1 - self.tokens) / self.rate_per_s


@dataclass(slots=True)
class DrainRate:
    """Observed rate at which tasks leave a queue, with exponential decay.

    Attributes:
        rate_per_s: Rate at the last update.
        updated_s: Time of the last update.
    """

    rate_per_s: float = 0.0
    updated_s: float = 0.0

    def add(self, tasks: int, now_s: float) -> None:
        """Adds tasks that left the queue.

        Args:
            tasks: Number of tasks.
            now_s: Current time on the leader's monotonic clock.
        """
        self.rate_per_s = self.rate_at(now_s) + tasks / DRAIN_TIME_CONSTANT_S
        self.updated_s = now_s

    def rate_at(self, now_s: float) -> float:
        """Returns the rate, decayed to the given time.

        Args:
            now_s: Current time on the leader's monotonic clock.
        """
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.rate_per_s * math.exp(-elapsed_s / DRAIN_TIME_CONSTANT_S)
