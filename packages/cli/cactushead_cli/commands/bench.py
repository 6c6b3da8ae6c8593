"""Commands that measure a running system."""

from dataclasses import asdict
from pathlib import Path

from fire.decorators import SetParseFn

from ..addresses import find_entries, read_input_file, split_entries
from ..bench import (
    LoadRun,
    LoadSpec,
    Report,
    ResponseReport,
    ResponseRun,
    RunOptions,
)
from ..bench.cluster import read_cluster
from ..bench.compare import (
    ComparedMeasure,
    compare_reports,
    format_comparison,
)
from ..bench.summary import (
    PERCENTILE_HEADER,
    format_report,
    percentile_row,
)
from ..client import Fields, HttpcoreTransport, UsageError
from ..output import format_table, with_progress, write_json, write_line
from .context import EXIT_DONE, EXIT_FAILED, Action, Context
from .options import parse_flag, parse_number, parse_whole

WHOLE_OPTIONS = ('seed', 'processes', 'upstreams', 'slots', 'jobs')
NUMBER_OPTIONS = ('load', 'duration_s', 'deadline_s', 'at_s')
FLAG_OPTIONS = ('flood', 'alone')


class BenchCommands:
    """Measure a running system and compare the reports."""

    def __init__(self, context: Context) -> None:
        """Keeps the shared options."""
        self._context = context

    @SetParseFn(str)
    @SetParseFn(parse_flag, *FLAG_OPTIONS)
    @SetParseFn(parse_number, *NUMBER_OPTIONS)
    @SetParseFn(parse_whole, *WHOLE_OPTIONS)
    def run(  # noqa: WPS211  each option is an argument
        self,
        *,
        shape: str = 'pickers',
        load: float = 0.7,
        duration_s: float = 20.0,
        seed: int = 1,
        entries: str = '',
        starts_dir: str = '',
        processes: int = 2,
        out: str = '',
        upstreams: int = 11,
        slots: int = 8,
        flood: bool = False,
        alone: bool = False,
        service: str = 'sample',
        deadline_s: float = 30.0,
        fault: str = '',
        at_s: float = 5.0,
        cluster: str = '',
    ) -> Action:
        """Offers load and reports responses, costs and broken promises.

        Jobs arrive by schedule and never wait for answers; a response counts
        from the scheduled arrival. Exits with 1 if a promise is broken.

        Args:
            shape: `pickers`, `consortium` or `single`.
            load: Offered work over what all slots can do.
            duration_s: Time over which jobs arrive.
            seed: Seed of the schedule.
            entries: Addresses of the entries; those of --cluster or --entry
                if left out.
            starts_dir: Folder with the upstreams' start records.
            processes: Worker processes of the load tool.
            out: File for the report, JSON.
            upstreams: Number of upstreams that serve the load.
            slots: Slots of each upstream.
            flood: One partner floods at twice the capacity (consortium).
            alone: That partner is left out (consortium).
            service: Name of the service.
            deadline_s: Deadline of each job.
            fault: `kill_leader`, `kill_agent`, `freeze_agent`,
                `leave_upstream`, `burst`, `cancel_wave`, `stragglers`.
            at_s: When the fault comes.
            cluster: File with the line that the cluster script prints.
        """

        async def perform() -> int:
            options = RunOptions(
                spec=LoadSpec(
                    shape,
                    load,
                    duration_s,
                    seed,
                    upstreams,
                    slots,
                    flood,
                    alone,
                ),
                service=service,
                entries=self._run_entries(entries, cluster),
                starts_dir=starts_dir,
                processes=processes,
                deadline_s=deadline_s,
                fault=fault,
                at_s=at_s,
                cluster_file=cluster,
            )
            load_run = LoadRun(options)
            report = await with_progress('load run', load_run.perform)
            return show_report(self._context, report, out)

        return Action(perform)

    @SetParseFn(str)
    def compare(self, first: str, second: str) -> Action:
        """Shows two reports side by side.

        Args:
            first: Report before a change.
            second: Report after it.
        """

        async def perform() -> int:
            compared = compare_reports(
                read_report(first),
                read_report(second),
            )
            return show_comparison(self._context, compared)

        return Action(perform)

    @SetParseFn(str)
    def plot(
        self,
        first: str,
        second: str = '',
        out: str = 'percentiles.png',
    ) -> Action:
        """Plots response over ideal by percentile.

        Args:
            first: A report.
            second: Another report, if any.
            out: File for the picture.
        """

        async def perform() -> int:
            from ..bench.plot import plot_reports  # noqa: PLC0415

            names = [name for name in (first, second) if name]
            reports = [read_report(name) for name in names]
            plot_reports(reports, names, out)
            if self._context.as_json:
                write_json({'plot': out})
            else:
                write_line(out)
            return EXIT_DONE

        return Action(perform)

    @SetParseFn(str)
    @SetParseFn(parse_whole, *WHOLE_OPTIONS)
    def response(
        self,
        *,
        jobs: int = 200,
        seed: int = 1,
        entries: str = '',
        service: str = 'sample',
        out: str = '',
    ) -> Action:
        """Measures the time that an idle system adds to one job.

        Args:
            jobs: Jobs of one task, one after another, of each kind.
            seed: Seed of the sleeps, 0 to 20 ms.
            entries: Address of the entry; as --entry if left out.
            service: Name of the service.
            out: File for the report, JSON.
        """

        async def perform() -> int:
            entry = self._entries(entries)[0]
            transport = HttpcoreTransport()
            response_run = ResponseRun(transport, entry, service, seed)
            report = await with_progress(
                'response run',
                lambda: response_run.perform(jobs),
            )
            return show_response(self._context, report, out)

        return Action(perform)

    def _run_entries(self, listed: str, cluster: str) -> tuple[str, ...]:
        if listed or not cluster:
            return self._entries(listed)
        entries = read_cluster(cluster).of_role('entry')
        return tuple(entry.url for entry in entries)

    def _entries(self, listed: str) -> tuple[str, ...]:
        if listed:
            return split_entries(listed)
        return find_entries(self._context.entry, self._context.settings).entries


def show_report(context: Context, report: Report, out: str) -> int:
    """Writes a load run's report; a broken promise makes the command fail."""
    write_report(report.encode(), out)
    if context.as_json:
        write_line(report.encode())
    else:
        for line in format_report(report):
            write_line(line)
    return EXIT_DONE if report.invariants_hold else EXIT_FAILED


def show_comparison(
    context: Context,
    compared: list[ComparedMeasure],
) -> int:
    """Writes two reports side by side."""
    if context.as_json:
        write_json(
            [{**asdict(found), 'ratio': found.ratio} for found in compared]
        )
        return EXIT_DONE
    for line in format_comparison(compared):
        write_line(line)
    return EXIT_DONE


def show_response(context: Context, report: ResponseReport, out: str) -> int:
    """Writes a response run's report; a wrong answer makes it fail."""
    write_report(report.encode(), out)
    if context.as_json:
        write_line(report.encode())
        return EXIT_DONE if report.all_correct else EXIT_FAILED
    rows = [
        PERCENTILE_HEADER,
        percentile_row('healthz, ms', report.http_ms),
        *(
            percentile_row(f'added to {kind.kind}, ms', kind.added_ms)
            for kind in report.kinds
        ),
    ]
    for line in format_table(rows):
        write_line(line)
    for found in report.kinds:
        write_line(f'wrong or missing answers of {found.kind}: {found.wrong}')
    return EXIT_DONE if report.all_correct else EXIT_FAILED


def write_report(text: str, out: str) -> None:
    """Writes a report to a file, if one is named.

    Raises:
        UsageError: If the file can't be written.
    """
    if not out:
        return
    try:
        Path(out).write_text(text, encoding='utf-8')
    except OSError as error:
        raise UsageError(f"can't write {out}: {error.strerror}") from error


def read_report(file_name: str) -> Fields:
    """Reads a report that a run wrote.

    Raises:
        UsageError: If the file holds no JSON object.
    """
    try:
        return Fields.decode(read_input_file(file_name))
    except ValueError as error:
        raise UsageError(f'{file_name}: {error}') from error
