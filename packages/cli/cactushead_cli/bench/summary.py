"""Formats load reports as text."""

from collections.abc import Sequence

from ..output import format_table
from .compare import NOT_MEASURED
from .costs import TaskCosts
from .percentiles import Percentiles
from .report import LabelCount, Report

MS_PER_S = 1000
MAX_LISTED_CALLERS = 10
PERCENTILE_HEADER = ('', 'count', 'p50', 'p90', 'p99', 'p99.9', 'max')


def format_report(report: Report) -> list[str]:
    """Returns the lines of a report as text.

    Args:
        report: The report.
    """
    spec = report.spec
    lines = [
        f'run {report.run}: {spec.shape} at load {spec.load:g} on '
        f'{spec.upstreams} upstreams of {spec.slots} slots, '
        f'{spec.duration_s:g} s, seed {spec.seed}',
        f'jobs: {report.jobs} with {report.tasks} tasks; '
        f'{_format_counts(report.ends)}; cancelled {report.cancelled}, '
        f'resubmitted {report.resubmitted}',
        f'throughput: {report.tasks_per_s:.1f} useful tasks/s',
        '',
        *format_table(_percentile_rows(report)),
        '',
        f'refusals: {_format_counts(report.refusals)}',
        f'failures: {_format_counts(report.failures)}',
    ]
    lines.extend(_cost_lines(report.costs))
    lines.extend(_usage_lines(report))
    lines.extend(_fault_lines(report))
    lines.append('')
    lines.extend(_invariant_lines(report))
    return lines


def percentile_row(name: str, percentiles: Percentiles) -> list[str]:
    """Returns a row of the table of percentiles.

    Args:
        name: Name of the measure.
        percentiles: Percentiles of the measure.
    """
    values = (
        percentiles.p50,
        percentiles.p90,
        percentiles.p99,
        percentiles.p999,
        percentiles.max,
    )
    return [name, str(percentiles.count), *(f'{value:.3f}' for value in values)]


def _percentile_rows(report: Report) -> list[Sequence[str]]:
    rows: list[Sequence[str]] = [
        PERCENTILE_HEADER,
        percentile_row('response/ideal', report.ratio),
        percentile_row('added, s', report.added_s),
    ]
    if len(report.callers) <= MAX_LISTED_CALLERS:
        rows.extend(
            percentile_row(f'  ratio of {caller.caller}', caller.ratio)
            for caller in report.callers
        )
    rows.append(percentile_row('load tool late, s', report.send_delay_s))
    return rows


def _cost_lines(costs: TaskCosts) -> list[str]:
    return [
        'per useful task: '
        f'frames {_format_number(costs.frames)}, '
        f'messages {_format_number(costs.messages)}, '
        f'bytes {_format_number(costs.size_bytes)}, '
        f'records {_format_number(costs.records)}',
        'wasted per useful task: '
        f'frames {_format_number(costs.wasted_frames)}, '
        f'messages {_format_number(costs.wasted_messages)}',
    ]


def _usage_lines(report: Report) -> list[str]:
    elections = report.elections
    elected = NOT_MEASURED if elections is None else str(elections)
    lines = [f'leaders elected during the run: {elected}']
    tasks = max(report.costs.useful_tasks, 1)
    lines.extend(
        f'{usage.role}: {usage.processes} processes, processor '
        f'{usage.cpu_s:.2f} s, {usage.cpu_s / tasks * MS_PER_S:.2f} ms per '
        f'useful task, largest {usage.largest_mb:.0f} MB'
        for usage in report.usage
    )
    return lines


def _fault_lines(report: Report) -> list[str]:
    return [
        f'fault: {event.at_s:.2f} s {event.step}; longest time without a start '
        f'{_format_number(effect.longest_gap_s)} s, its own last start after '
        f'{_format_number(effect.last_start_s)} s'
        for event, effect in zip(report.faults, report.effects, strict=True)
    ]


def _invariant_lines(report: Report) -> list[str]:
    lines = [
        f'{"BROKEN" if check.count else "kept"}: {check.promise}: '
        f'{check.count} {", ".join(check.cases)}'.rstrip()
        for check in report.promises
    ]
    if not report.starts_checked:
        lines.append('starts: not checked, no --starts_dir given')
    return lines


def _format_counts(counts: Sequence[LabelCount]) -> str:
    labelled = (f'{counted.label} {counted.count}' for counted in counts)
    return ', '.join(labelled) or 'none'


def _format_number(number: float | None) -> str:
    return NOT_MEASURED if number is None else f'{number:.3f}'
