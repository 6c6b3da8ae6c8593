"""Counters and durations of a process."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cactushead_core.effects import Count, Measure

# Labels beyond this many share one, so that texts of callers can't fill the
# memory.
HIGHEST_LABELS = 200
OTHER_LABEL = 'other'


@dataclass(slots=True)
class Counter:
    """One counter.

    Attributes:
        amounts: Amount of each label.
    """

    amounts: dict[str, int] = field(default_factory=dict)

    def add(self, label: str, amount: int) -> None:
        """Adds to a label's amount.

        Examples:
            >>> counter = Counter()
            >>> counter.add('queue full', 2)
            >>> counter.amounts
            {'queue full': 2}

        Args:
            label: What is counted.
            amount: How many.
        """
        known = label in self.amounts
        if not known and len(self.amounts) >= HIGHEST_LABELS:
            label = OTHER_LABEL
        self.amounts[label] = self.amounts.get(label, 0) + amount


class Meters(ABC):
    """Takes the measurements of a process.

    Attributes:
        counters: The counters by name.
    """

    def __init__(self) -> None:
        """Starts without measurements."""
        self.counters: dict[str, Counter] = {}

    def count(self, effect: Count) -> None:
        """Adds to a counter.

        Args:
            effect: The counter, the label and the amount.
        """
        counter = self.counters.get(effect.metric)
        if counter is None:
            counter = Counter()
            self.counters[effect.metric] = counter
        counter.add(effect.label, effect.amount)

    def measure(self, effect: Measure) -> None:
        """Adds a duration.

        Args:
            effect: The metric and the duration.
        """
        self._add_duration(effect.metric, max(0, effect.duration_s))

    @abstractmethod
    def _add_duration(self, metric: str, duration_s: float) -> None:
        """Adds a duration, which is not negative."""


@dataclass(slots=True)
class DurationTotal:
    """Sum of durations.

    Attributes:
        count: Number of durations.
        total_s: Their sum.
        longest_s: The longest.
    """

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0


class PlainMeters(Meters):
    """Keeps sums of durations only, for processes that must stay small.

    Examples:
        >>> meters = PlainMeters()
        >>> meters.measure(Measure('run_s', 0.25))
        >>> meters.durations['run_s']
        DurationTotal(count=1, total_s=0.25, longest_s=0.25)

    Attributes:
        durations: Sum of each metric's durations.
    """

    def __init__(self) -> None:
        """Starts without measurements."""
        super().__init__()
        self.durations: dict[str, DurationTotal] = {}

    def _add_duration(self, metric: str, duration_s: float) -> None:
        total = self.durations.setdefault(metric, DurationTotal())
        total.count += 1
        total.total_s += duration_s
        total.longest_s = max(total.longest_s, duration_s)
