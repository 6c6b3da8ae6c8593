"""Histograms of durations and the two forms of all metrics."""

import json
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from .meters import Counter, Meters

US_PER_S = 1_000_000
LONGEST_S = 3600
LONGEST_US = LONGEST_S * US_PER_S
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)
NAMESPACE = 'cactushead'

ReadSource = Callable[[], Any]
"""Returns a data class of numbers that another part keeps."""


@dataclass(frozen=True, slots=True)
class Source:
    """Numbers that another part keeps.

    Attributes:
        read: Returns a data class of the numbers.
        gauges: Whether the numbers go up and down.
    """

    read: ReadSource
    gauges: bool

    def numbers(self) -> dict[str, float]:
        """Returns the present numbers by name."""
        return asdict(self.read())


class Histogram:
    """Durations of one metric, with two significant digits.

    Examples:
        >>> histogram = Histogram()
        >>> for duration_s in (0.1, 0.2, 0.3):
        ...     histogram.add(duration_s)
        >>> summary = histogram.summary()
        >>> round(summary['p50'], 2), summary['max']
        (0.2, 0.3)
    """

    def __init__(self) -> None:
        """Starts without durations."""
        self.total_s = 0.0
        self._longest_s = 0.0
        self._counts = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)

    def add(self, duration_s: float) -> None:
        """Adds a duration; one of over an hour counts as an hour."""
        duration_s = min(duration_s, LONGEST_S)
        self.total_s += duration_s
        self._longest_s = max(self._longest_s, duration_s)
        self._counts.record_value(round(duration_s * US_PER_S))

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._counts.get_total_count())

    def summary(self) -> dict[str, float]:
        """Returns count, mean, percentiles and maximum, for JSON."""
        count = self.count
        values_us = self._counts.get_percentile_to_value_dict(PERCENTILES)
        summary: dict[str, float] = {
            'count': count,
            'mean': round(self.total_s / count, 6) if count else 0.0,
        }
        for percentile in PERCENTILES:
            name = f'p{percentile:g}'.replace('.', '')
            summary[name] = values_us.get(percentile, 0) / US_PER_S
        summary['max'] = self._longest_s
        return summary

    def cumulative(self) -> list[tuple[str, int]]:
        """Returns bucket bounds and the durations up to each."""
        reached = [
            (step.value_iterated_to / US_PER_S, step.count_at_value_iterated_to)
            for step in self._counts.get_recorded_iterator()
        ]
        buckets = [
            (str(bound_s), _count_up_to(reached, bound_s))
            for bound_s in BUCKETS_S
        ]
        buckets.append(('+Inf', self.count))
        return buckets


class Metrics(Meters):
    """Histograms, counters and the counters of other parts.

    Attributes:
        histograms: Histograms by name of the metric.
        sources: Numbers of other parts by name of the part.
    """

    def __init__(self, process: str) -> None:
        """Starts without measurements.

        Args:
            process: Name of the process.
        """
        super().__init__()
        self.histograms: dict[str, Histogram] = {}
        self._process = process
        self.sources: dict[str, Source] = {}
        self._registry = CollectorRegistry()
        self._registry.register(_MetricsCollector(self))

    def add_source(
        self,
        name: str,
        read: ReadSource,
        *,
        gauges: bool = False,
    ) -> None:
        """Shows the numbers of another part too.

        Args:
            name: Name of the part, such as `links`.
            read: Returns a data class of numbers.
            gauges: Whether the numbers go up and down; counters only go up.
        """
        self.sources[name] = Source(read, gauges)

    def to_json(self) -> bytes:
        """Returns percentiles in seconds, and counters, as JSON."""
        content: dict[str, Any] = {
            'process': self._process,
            'durations': {
                metric: histogram.summary()
                for metric, histogram in sorted(self.histograms.items())
            },
            'counters': {
                metric: counter.amounts
                for metric, counter in sorted(self.counters.items())
            },
        }
        for name, source in self.sources.items():
            content[name] = source.numbers()
        return json.dumps(content).encode('ascii')

    def to_text(self) -> bytes:
        """Returns the metrics in the text form that scrapers read."""
        return generate_latest(self._registry)

    def _add_duration(self, metric: str, duration_s: float) -> None:
        histogram = self.histograms.get(metric)
        if histogram is None:
            histogram = Histogram()
            self.histograms[metric] = histogram
        histogram.add(duration_s)


class _MetricsCollector(Collector):
    """Gives the metrics to the library that writes the text form."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def describe(self) -> list[Metric]:
        return []

    def collect(self) -> Iterator[Metric]:
        for metric, histogram in sorted(self._metrics.histograms.items()):
            yield _histogram_family(metric, histogram)
        for metric, counter in sorted(self._metrics.counters.items()):
            yield _counter_family(metric, counter)
        for part, source in self._metrics.sources.items():
            yield from _source_families(part, source)


def _count_up_to(reached: list[tuple[float, int]], bound_s: float) -> int:
    return sum(count for value_s, count in reached if value_s <= bound_s)


def _histogram_family(metric: str, histogram: Histogram) -> Metric:
    name = f'{metric.removesuffix("_s")}_seconds'
    return HistogramMetricFamily(
        f'{NAMESPACE}_{name}',
        f'Durations of {metric}.',
        buckets=histogram.cumulative(),
        sum_value=histogram.total_s,
    )


def _counter_family(metric: str, counter: Counter) -> Metric:
    family = CounterMetricFamily(
        f'{NAMESPACE}_{metric}',
        f'Count of {metric}.',
        labels=['label'],
    )
    for label, amount in sorted(counter.amounts.items()):
        family.add_metric([label], amount)
    return family


def _source_families(part: str, source: Source) -> Iterator[Metric]:
    family = GaugeMetricFamily if source.gauges else CounterMetricFamily
    for name, number in source.numbers().items():
        metric = f'{part}_{name}'
        yield family(
            f'{NAMESPACE}_{metric}',
            f'Present {metric}.' if source.gauges else f'Count of {metric}.',
            value=number,
        )
