"""Compares two load reports measure by measure."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..client import Fields
from ..output import format_table

NOT_MEASURED = 'not measured'
PERCENTILE_FIELDS = ('p50', 'p90', 'p99', 'p999', 'max')
COST_FIELDS = (
    'frames',
    'messages',
    'size_bytes',
    'records',
    'wasted_frames',
    'wasted_messages',
)
COUNT_FIELDS = ('tasks_per_s', 'jobs', 'cancelled', 'resubmitted', 'elections')
HEADER = ('measure', 'A', 'B', 'B/A')


@dataclass(frozen=True, slots=True)
class ComparedMeasure:
    """Values of one measure in two reports.

    Attributes:
        measure: Name of the measure.
        first: Value in the first report, None if not measured.
        second: Value in the second report, None if not measured.
    """

    measure: str
    first: float | None
    second: float | None

    @property
    def ratio(self) -> float | None:
        """Second value over first; None if undefined or not measured.

        Examples:
            >>> ComparedMeasure('jobs', 4.0, 6.0).ratio
            1.5
        """
        if not self.first or self.second is None:
            return None
        return self.second / self.first


def compare_reports(first: Fields, second: Fields) -> list[ComparedMeasure]:
    """Returns the measures of two decoded reports, paired by name.

    Args:
        first: Report from before a change.
        second: Report from after the change.
    """
    compared = [
        ComparedMeasure(f'{section} {name}', before, after)
        for section, name, before, after in _section_measures(first, second)
    ]
    compared.extend(
        ComparedMeasure(
            name, _read_number(first, name), _read_number(second, name)
        )
        for name in COUNT_FIELDS
    )
    violations = (_count_violations(first), _count_violations(second))
    compared.append(ComparedMeasure('broken promises', *violations))
    return compared


def format_comparison(compared: list[ComparedMeasure]) -> list[str]:
    """Returns the lines of a table of compared measures.

    Args:
        compared: The compared measures.
    """
    rows = [
        (
            row.measure,
            _format_number(row.first, NOT_MEASURED),
            _format_number(row.second, NOT_MEASURED),
            _format_number(row.ratio, ''),
        )
        for row in compared
    ]
    return format_table([HEADER, *rows])


def _section_measures(
    first: Fields,
    second: Fields,
) -> Iterator[tuple[str, str, float | None, float | None]]:
    """Yields section, name and both values of each measure in a section."""
    sections = {
        'ratio': PERCENTILE_FIELDS,
        'added_s': PERCENTILE_FIELDS,
        'costs': COST_FIELDS,
    }
    for section, names in sections.items():
        before = first.child(section)
        after = second.child(section)
        for name in names:
            yield (
                section,
                name,
                _read_number(before, name),
                _read_number(after, name),
            )


def _read_number(fields: Fields, name: str) -> float | None:
    """Returns a number of a report, None if absent or null."""
    if fields.raw.get(name) is None:
        return None
    return fields.number(name)


def _format_number(number: float | None, absent: str) -> str:
    return absent if number is None else f'{number:.3f}'


def _count_violations(report: Fields) -> float:
    """Returns the number of violations of all invariants."""
    checks = report.children('promises')
    return float(sum(check.integer('count') for check in checks))
