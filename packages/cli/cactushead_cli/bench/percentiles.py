"""Percentiles by HDR histograms."""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

HIGHEST = 10_000_000_000
SIGNIFICANT_DIGITS = 3
SCALE = 1_000_000
MEDIAN = 50.0
P90 = 90.0
P99 = 99.0
P999 = 99.9
HIGHEST_PERCENTILE = 100.0
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
    HIGHEST_PERCENTILE,
)


@dataclass(frozen=True, slots=True)
class CurvePoint:
    """One point of a percentile curve."""

    percentile: float
    value: float


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a series; all 0 for an empty one.

    Attributes:
        count: Number of values.
        p50: Median.
        p90: 90th percentile.
        p99: 99th percentile.
        p999: 99.9th percentile.
        max: Highest value.
        curve: The percentile curve, for plots.
    """

    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    max: float
    curve: tuple[CurvePoint, ...] = ()


def summarise(series: Iterable[float]) -> Percentiles:
    """Returns the percentiles of a series, to three significant digits.

    Examples:
        >>> found = summarise([1.0, 2.0, 4.0])
        >>> found.count, round(found.p50, 2), round(found.max, 2)
        (3, 2.0, 4.0)

    Args:
        series: Values of 0 or more; a negative one counts as 0.
    """
    histogram = HdrHistogram(1, HIGHEST, SIGNIFICANT_DIGITS)
    for value in series:
        scaled = round(value * SCALE)
        histogram.record_value(min(max(scaled, 0), HIGHEST))
    curve = tuple(
        CurvePoint(percentile, _at(histogram, percentile))
        for percentile in CURVE_PERCENTILES
    )
    return Percentiles(
        count=histogram.get_total_count(),
        p50=_at(histogram, MEDIAN),
        p90=_at(histogram, P90),
        p99=_at(histogram, P99),
        p999=_at(histogram, P999),
        max=_at(histogram, HIGHEST_PERCENTILE),
        curve=curve,
    )


def _at(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / SCALE
