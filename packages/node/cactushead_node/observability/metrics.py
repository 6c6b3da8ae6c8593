"""Metrics with histograms, and their JSON and Prometheus formats."""

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

from .metrics_recorder import Counter, MetricsRecorder

US_PER_S = 1_000_000
MAX_DURATION_S = 3600
MAX_DURATION_US = MAX_DURATION_S * US_PER_S
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
"""Returns a data class with the metrics of another component."""


@dataclass(frozen=True, slots=True)
class MetricSource:
    """Metrics of another component.

    Attributes:
        read: Returns a data class with the values.
        gauges: Whether the values are gauges; else they are counters.
    """

    read: ReadSource
    gauges: bool

    def values(self) -> dict[str, float]:
        """Returns the current values by name."""
        return asdict(self.read())


class Histogram:
    """Histogram of durations, with two significant digits.

    Examples:
        >>> histogram = Histogram()
        >>> for duration_s in (0.1, 0.2, 0.3):
        ...     histogram.add(duration_s)
        >>> summary = histogram.summary()
        >>> round(summary['p50'], 2), summary['max']
        (0.2, 0.3)
    """

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self.total_s = 0.0
        self._max_s = 0.0
        self._counts = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)

    def add(self, duration_s: float) -> None:
        """Records a duration; one over an hour is recorded as an hour."""
        duration_s = min(duration_s, MAX_DURATION_S)
        self.total_s += duration_s
        self._max_s = max(self._max_s, duration_s)
        self._counts.record_value(round(duration_s * US_PER_S))

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._counts.get_total_count())

    def summary(self) -> dict[str, float]:
        """Returns count, mean, percentiles and maximum for the JSON format."""
        count = self.count
        values_us = self._counts.get_percentile_to_value_dict(PERCENTILES)
        summary: dict[str, float] = {
            'count': count,
            'mean': round(self.total_s / count, 6) if count else 0.0,
        }
        for percentile in PERCENTILES:
            name = f'p{percentile:g}'.replace('.', '')
            summary[name] = values_us.get(percentile, 0) / US_PER_S
        summary['max'] = self._max_s
        return summary

    def cumulative_buckets(self) -> list[tuple[str, int]]:
        """Returns the upper bounds of the buckets with cumulative counts."""
        recorded_counts = [
            (step.value_iterated_to / US_PER_S, step.count_at_value_iterated_to)
            for step in self._counts.get_recorded_iterator()
        ]
        buckets = [
            (str(bound_s), _count_up_to(recorded_counts, bound_s))
            for bound_s in BUCKETS_S
        ]
        buckets.append(('+Inf', self.count))
        return buckets


class Metrics(MetricsRecorder):
    """Histograms, counters and the metrics of other components.

    Attributes:
        histograms: Histograms, by name of the metric.
        sources: Metrics of other components, by name of the component.
    """

    def __init__(self, process: str) -> None:
        """Creates a recorder without measurements.

        Args:
            process: Name of the process.
        """
        super().__init__()
        self.histograms: dict[str, Histogram] = {}
        self._process = process
        self.sources: dict[str, MetricSource] = {}
        self._registry = CollectorRegistry()
        self._registry.register(_MetricsCollector(self))

    def add_source(
        self,
        name: str,
        read: ReadSource,
        *,
        gauges: bool = False,
    ) -> None:
        """Includes the metrics of another component in the output.

        Args:
            name: Name of the component, such as `links`.
            read: Returns a data class with the current values.
            gauges: Whether the values are gauges; else they are counters.
        """
        self.sources[name] = MetricSource(read, gauges)

    def to_json(self) -> bytes:
        """Returns all metrics as JSON, with percentiles in seconds."""
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
            content[name] = source.values()
        return json.dumps(content).encode('ascii')

    def to_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _add_duration(self, metric: str, duration_s: float) -> None:
        histogram = self.histograms.get(metric)
        if histogram is None:
            histogram = Histogram()
            self.histograms[metric] = histogram
        histogram.add(duration_s)


class _MetricsCollector(Collector):
    """Converts the metrics to families of the Prometheus client library."""

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


def _count_up_to(
    recorded_counts: list[tuple[float, int]], bound_s: float
) -> int:
    return sum(
        count for value_s, count in recorded_counts if value_s <= bound_s
    )


def _histogram_family(metric: str, histogram: Histogram) -> Metric:
    name = f'{metric.removesuffix("_s")}_seconds'
    return HistogramMetricFamily(
        f'{NAMESPACE}_{name}',
        f'Durations of {metric}.',
        buckets=histogram.cumulative_buckets(),
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


def _source_families(part: str, source: MetricSource) -> Iterator[Metric]:
    family = GaugeMetricFamily if source.gauges else CounterMetricFamily
    for name, amount in source.values().items():
        metric = f'{part}_{name}'
        yield family(
            f'{NAMESPACE}_{metric}',
            f'Present {metric}.' if source.gauges else f'Count of {metric}.',
            value=amount,
        )
