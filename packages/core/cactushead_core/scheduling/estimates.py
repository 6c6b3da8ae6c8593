"""Estimates of run times, from what was observed."""

import math
from dataclasses import dataclass

DEFAULT_RUN_S = 0.3
MIN_WEIGHT = 0.05
# One very long run moves the estimate no more than a run of this multiple.
OUTLIER_FACTOR = 8.0
MIN_CLIPPING_SAMPLES = 5
MIN_RUN_S = 0.0001


@dataclass(slots=True)
class RunTimeEstimate:
    """Clipped, exponentially weighted mean of a request kind's run times.

    Examples:
        >>> estimate = RunTimeEstimate(timeout_s=30.0)
        >>> estimate.value_s
        0.3
        >>> estimate.observe(0.1)
        >>> estimate.value_s
        0.1

    Attributes:
        timeout_s: Longest run that the document allows.
        mean_s: The mean, once there is a sample.
        samples: Runs observed.
    """

    timeout_s: float
    mean_s: float = 0.0
    samples: int = 0

    @property
    def value_s(self) -> float:
        """How long a task of the kind will probably run."""
        if self.samples:
            return self.mean_s
        return min(DEFAULT_RUN_S, self.timeout_s)

    def observe(self, run_s: float) -> None:
        """Takes one successful run into the estimate.

        Args:
            run_s: How long it ran; a value that is no duration is ignored.
        """
        if not math.isfinite(run_s) or run_s < 0:
            return
        if self.samples >= MIN_CLIPPING_SAMPLES:
            run_s = min(run_s, self.mean_s * OUTLIER_FACTOR)
        self.samples += 1
        weight = max(MIN_WEIGHT, 1 / self.samples)
        self.mean_s += weight * (run_s - self.mean_s)

    def log_slowdown(self, run_s: float) -> float:
        """Returns the logarithm of a run time over the estimate, bounded.

        Args:
            run_s: How long a task ran; 0 for a value that is no duration.
        """
        if not 0 < run_s < math.inf:
            return 0.0
        ratio = run_s / max(MIN_RUN_S, self.value_s)
        bounded = min(OUTLIER_FACTOR, max(1 / OUTLIER_FACTOR, ratio))
        return math.log(bounded)
