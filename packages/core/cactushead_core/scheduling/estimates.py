"""Run time estimates from observed runs."""

import math
from dataclasses import dataclass

DEFAULT_RUN_S = 0.3
MIN_WEIGHT = 0.05
# Longer runs are clipped to this multiple of the mean, so that one outlier
# has a bounded effect on the estimate.
OUTLIER_FACTOR = 8.0
MIN_CLIPPING_SAMPLES = 5
MIN_RUN_S = 0.0001


@dataclass(slots=True)
class RunTimeEstimate:
    """Exponentially weighted mean of a request kind's clipped run times.

    Examples:
        >>> estimate = RunTimeEstimate(timeout_s=30.0)
        >>> estimate.value_s
        0.3
        >>> estimate.observe(0.1)
        >>> estimate.value_s
        0.1

    Attributes:
        timeout_s: Longest run that the document allows.
        mean_s: The mean, 0 without samples.
        samples: Number of observed runs.
    """

    timeout_s: float
    mean_s: float = 0.0
    samples: int = 0

    @property
    def value_s(self) -> float:
        """Expected run time of a task of the kind."""
        if self.samples:
            return self.mean_s
        return min(DEFAULT_RUN_S, self.timeout_s)

    def observe(self, run_s: float) -> None:
        """Adds one successful run to the estimate.

        Args:
            run_s: Run time; negative, infinite and NaN values are ignored.
        """
        if not math.isfinite(run_s) or run_s < 0:
            return
        if self.samples >= MIN_CLIPPING_SAMPLES:
            run_s = min(run_s, self.mean_s * OUTLIER_FACTOR)
        self.samples += 1
        weight = max(MIN_WEIGHT, 1 / self.samples)
        self.mean_s += weight * (run_s - self.mean_s)

    def log_slowdown(self, run_s: float) -> float:
        """Returns the logarithm of the ratio of a run time to the estimate.

        The ratio is clipped to the outlier factor in both directions.

        Args:
            run_s: Run time; the result is 0 unless it is positive and finite.
        """
        if not 0 < run_s < math.inf:
            return 0.0
        ratio = run_s / max(MIN_RUN_S, self.value_s)
        bounded = min(OUTLIER_FACTOR, max(1 / OUTLIER_FACTOR, ratio))
        return math.log(bounded)
