"""Percentiles computed with HDR histograms.

Explanation:
    A histogram counts integers, so values are stored in millionths.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MAX_SCALED_VALUE = 10_000_000_000
SIGNIFICANT_DIGITS = 3
SCALE_FACTOR = 1_000_000
MEDIAN = 50.0
P90 = 90.0
P99 = 99.0
P999 = 99.9
MAX_PERCENTILE = 100.0
CURVE_PERCENTILES = (
    0.0,
    10.0,
    25.0,
    MEDIAN,
    75.0,
    P90,
    95.0,
    P99,
    99.5,
    P999,
    99.99,
    MAX_PERCENTILE,
)


@dataclass(frozen=True, slots=True)
class CurvePoint:
    """One point of a percentile curve."""

    percentile: float
    value: float


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a series; all 0 for an empty series.

    Attributes:
        count: Number of values.
        p50: Median.
        p90: 90th percentile.
        p99: 99th percentile.
        p999: 99.9th percentile.
        max: Highest value.
        curve: Points of the percentile curve, for plots.
    """

    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    max: float
    curve: tuple[CurvePoint, ...] = ()


def compute_percentiles(series: Iterable[float]) -> Percentiles:
    """Returns the percentiles of a series, to three significant digits.

    Examples:
        >>> found = compute_percentiles([1.0, 2.0, 4.0])
        >>> found.count, round(found.p50, 2), round(found.max, 2)
        (3, 2.0, 4.0)

    Args:
        series: Values from 0 to 10,000; values outside are clamped to these
            limits.
    """
    histogram = HdrHistogram(1, MAX_SCALED_VALUE, SIGNIFICANT_DIGITS)
    for value in series:
        scaled = round(value * SCALE_FACTOR)
        histogram.record_value(min(max(scaled, 0), MAX_SCALED_VALUE))
    curve = tuple(
        CurvePoint(percentile, _value_at_percentile(histogram, percentile))
        for percentile in CURVE_PERCENTILES
    )
    return Percentiles(
        count=histogram.get_total_count(),
        p50=_value_at_percentile(histogram, MEDIAN),
        p90=_value_at_percentile(histogram, P90),
        p99=_value_at_percentile(histogram, P99),
        p999=_value_at_percentile(histogram, P999),
        max=_value_at_percentile(histogram, MAX_PERCENTILE),
        curve=curve,
    )


def _value_at_percentile(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / SCALE_FACTOR
