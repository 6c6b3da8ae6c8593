"""Estimates of run times per queue, learned from completed runs."""

# Weight of a new sample in the moving average; about the last 50 runs count.
EWMA_WEIGHT = 0.02
MIN_RATIO = 0.2
MAX_RATIO = 5.0


class RunTimes:
    """Moving average of the ratio of measured to declared run times, by queue.

    Examples:
        >>> times = RunTimes()
        >>> for _ in range(500):
        ...     times.observe('q', declared_s=1.0, ran_s=2.0)
        >>> round(times.expected_s('q', declared_s=0.5), 2)
        1.0
    """

    def __init__(self) -> None:
        """Starts with a ratio of 1 for each queue."""
        self._ratios: dict[str, float] = {}

    def observe(self, queue: str, declared_s: float, ran_s: float) -> None:
        """Updates the ratio of a queue with one completed run.

        Args:
            queue: Name of the queue.
            declared_s: Declared run time.
            ran_s: Measured run time.
        """
        if declared_s <= 0:
            return
        ratio = min(max(ran_s / declared_s, MIN_RATIO), MAX_RATIO)
        known = self._ratios.get(queue, 1.0)
        self._ratios[queue] = known + EWMA_WEIGHT * (ratio - known)

    def expected_s(self, queue: str, declared_s: float) -> float:
        """Returns the expected run time of a task.

        Args:
            queue: Name of the queue.
            declared_s: Declared run time.
        """
        return declared_s * self._ratios.get(queue, 1.0)
