"""Two reports side by side."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..client import Fields
from ..output import format_table

NOT_MEASURED = 'not measured'
PERCENTILES = ('p50', 'p90', 'p99', 'p999', 'max')
COSTS = (
    'frames',
    'messages',
    'size_bytes',
    'records',
    'wasted_frames',
    'wasted_messages',
)
COUNTS = ('tasks_per_s', 'jobs', 'cancelled', 'resubmitted', 'elections')
HEAD = ('measure', 'A', 'B', 'B/A')


@dataclass(frozen=True, slots=True)
class ComparedMeasure:
    """One measure of two reports.

    Attributes:
        measure: What is measured.
        first: Value of the first report, None if not measured.
        second: Value of the second report, None if not measured.
    """

    measure: str
    first: float | None
    second: float | None

    @property
    def ratio(self) -> float | None:
        """Second over first; None if it can't be given.

        Examples:
            >>> ComparedMeasure('jobs', 4.0, 6.0).ratio
            1.5
        """
        if not self.first or self.second is None:
            return None
        return self.second / self.first


def compare_reports(first: Fields, second: Fields) -> list[ComparedMeasure]:
    """Returns the measures of two decoded reports.

    Args:
        first: The report before a change.
        second: The report after it.
    """
    compared = [
        ComparedMeasure(f'{section} {name}', before, after)
        for section, name, before, after in _section_measures(first, second)
    ]
    compared.extend(
        ComparedMeasure(name, _measured(first, name), _measured(second, name))
        for name in COUNTS
    )
    broken = (_broken_count(first), _broken_count(second))
    compared.append(ComparedMeasure('broken promises', *broken))
    return compared


def format_comparison(compared: list[ComparedMeasure]) -> list[str]:
    """Returns compared measures as a table.

    Args:
        compared: The measures.
    """
    rows = [
        (
            found.measure,
            _shown(found.first, NOT_MEASURED),
            _shown(found.second, NOT_MEASURED),
            _shown(found.ratio, ''),
        )
        for found in compared
    ]
    return format_table([HEAD, *rows])


def _section_measures(
    first: Fields,
    second: Fields,
) -> Iterator[tuple[str, str, float | None, float | None]]:
    sections = {'ratio': PERCENTILES, 'added_s': PERCENTILES, 'costs': COSTS}
    for section, names in sections.items():
        before = first.child(section)
        after = second.child(section)
        for name in names:
            yield section, name, _measured(before, name), _measured(after, name)


def _measured(fields: Fields, name: str) -> float | None:
    if fields.raw.get(name) is None:
        return None
    return fields.number(name)


def _shown(number: float | None, absent: str) -> str:
    return absent if number is None else f'{number:.3f}'


def _broken_count(report: Fields) -> float:
    found = report.children('promises')
    return float(sum(promise.whole('count') for promise in found))
