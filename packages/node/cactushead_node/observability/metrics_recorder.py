"""Recorders of the counters and durations of a process."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cactushead_core.effects import Count, Measure

# Further labels are counted under `OTHER_LABEL`, so that labels chosen by
# callers do not use an unbounded amount of memory.
MAX_LABELS = 200
OTHER_LABEL = 'other'


@dataclass(slots=True)
class Counter:
    """A counter with one label.

    Attributes:
        amounts: Count by label value.
    """

    amounts: dict[str, int] = field(default_factory=dict)

    def add(self, label: str, amount: int) -> None:
        """Adds an amount to the count of a label.

        Examples:
            >>> counter = Counter()
            >>> counter.add('queue full', 2)
            >>> counter.amounts
            {'queue full': 2}

        Args:
            label: Value of the label.
            amount: Amount to add.
        """
        known = label in self.amounts
        if not known and len(self.amounts) >= MAX_LABELS:
            label = OTHER_LABEL
        self.amounts[label] = self.amounts.get(label, 0) + amount


class MetricsRecorder(ABC):
    """Records the counters and durations of a process.

    Attributes:
        counters: The counters, by name of the metric.
    """

    def __init__(self) -> None:
        """Creates a recorder without measurements."""
        self.counters: dict[str, Counter] = {}

    def count(self, effect: Count) -> None:
        """Adds to a counter.

        Args:
            effect: The metric, the label and the amount.
        """
        counter = self.counters.get(effect.metric)
        if counter is None:
            counter = Counter()
            self.counters[effect.metric] = counter
        counter.add(effect.label, effect.amount)

    def measure(self, effect: Measure) -> None:
        """Records a duration; a negative one is recorded as zero.

        Args:
            effect: The metric and the duration.
        """
        self._add_duration(effect.metric, max(0, effect.duration_s))

    @abstractmethod
    def _add_duration(self, metric: str, duration_s: float) -> None:
        """Records a duration that is not negative."""


@dataclass(slots=True)
class DurationTotal:
    """Count, sum and maximum of durations.

    Attributes:
        count: Number of durations.
        total_s: Sum of the durations.
        max_s: Longest duration.
    """

    count: int = 0
    total_s: float = 0.0
    max_s: float = 0.0


class TotalsRecorder(MetricsRecorder):
    """Keeps totals instead of histograms, for processes with little memory.

    Examples:
        >>> recorder = TotalsRecorder()
        >>> recorder.measure(Measure('run_s', 0.25))
        >>> recorder.durations['run_s']
        DurationTotal(count=1, total_s=0.25, max_s=0.25)

    Attributes:
        durations: Totals of the durations, by name of the metric.
    """

    def __init__(self) -> None:
        """Creates a recorder without measurements."""
        super().__init__()
        self.durations: dict[str, DurationTotal] = {}

    def _add_duration(self, metric: str, duration_s: float) -> None:
        total = self.durations.setdefault(metric, DurationTotal())
        total.count += 1
        total.total_s += duration_s
        total.max_s = max(total.max_s, duration_s)
