"""Reports as text."""

from collections.abc import Sequence

from ..output import format_table
from .compare import NOT_MEASURED
from .costs import TaskCosts
from .percentiles import Percentiles
from .report import Report, Tally

MS_PER_S = 1000
SHOWN_CALLERS = 10
PERCENTILE_HEADER = ('', 'count', 'p50', 'p90', 'p99', 'p99.9', 'max')


def format_report(report: Report) -> list[str]:
    """Returns a report as lines of text.

    Args:
        report: The report.
    """
    spec = report.spec
    lines = [
        f'run {report.run}: {spec.shape} at load {spec.load:g} on '
        f'{spec.upstreams} upstreams of {spec.slots} slots, '
        f'{spec.duration_s:g} s, seed {spec.seed}',
        f'jobs: {report.jobs} with {report.tasks} tasks; '
        f'{_join(report.ends)}; cancelled {report.cancelled}, '
        f'resubmitted {report.resubmitted}',
        f'throughput: {report.tasks_per_s:.1f} useful tasks/s',
        '',
        *format_table(_percentile_rows(report)),
        '',
        f'refusals: {_join(report.refusals)}',
        f'failures: {_join(report.failures)}',
    ]
    lines.extend(_cost_lines(report.costs))
    lines.extend(_usage_lines(report))
    lines.extend(_fault_lines(report))
    lines.append('')
    lines.extend(_promise_lines(report))
    return lines


def percentile_row(name: str, found: Percentiles) -> list[str]:
    """Returns one row of a table of percentiles.

    Args:
        name: What is measured.
        found: The percentiles.
    """
    shown = (found.p50, found.p90, found.p99, found.p999, found.max)
    return [name, str(found.count), *(f'{value:.3f}' for value in shown)]


def _percentile_rows(report: Report) -> list[Sequence[str]]:
    rows: list[Sequence[str]] = [
        PERCENTILE_HEADER,
        percentile_row('response/ideal', report.ratio),
        percentile_row('added, s', report.added_s),
    ]
    if len(report.callers) <= SHOWN_CALLERS:
        rows.extend(
            percentile_row(f'  ratio of {caller.caller}', caller.ratio)
            for caller in report.callers
        )
    rows.append(percentile_row('load tool late, s', report.send_delay_s))
    return rows


def _cost_lines(costs: TaskCosts) -> list[str]:
    return [
        'per useful task: '
        f'frames {_shown(costs.frames)}, messages {_shown(costs.messages)}, '
        f'bytes {_shown(costs.size_bytes)}, records {_shown(costs.records)}',
        f'wasted per useful task: frames {_shown(costs.wasted_frames)}, '
        f'messages {_shown(costs.wasted_messages)}',
    ]


def _usage_lines(report: Report) -> list[str]:
    elections = report.elections
    shown = NOT_MEASURED if elections is None else str(elections)
    lines = [f'leaders elected during the run: {shown}']
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
        f'fault: {note.at_s:.2f} s {note.step}; longest time without a start '
        f'{_shown(effect.longest_gap_s)} s, its own last start after '
        f'{_shown(effect.last_start_s)} s'
        for note, effect in zip(report.faults, report.effects, strict=True)
    ]


def _promise_lines(report: Report) -> list[str]:
    lines = [
        f'{"BROKEN" if broken.count else "kept"}: {broken.promise}: '
        f'{broken.count} {", ".join(broken.cases)}'.rstrip()
        for broken in report.promises
    ]
    if not report.starts_checked:
        lines.append('starts: not checked, no --starts_dir given')
    return lines


def _join(tallies: Sequence[Tally]) -> str:
    shown = (f'{tally.label} {tally.count}' for tally in tallies)
    return ', '.join(shown) or 'none'


def _shown(cost: float | None) -> str:
    return NOT_MEASURED if cost is None else f'{cost:.3f}'
