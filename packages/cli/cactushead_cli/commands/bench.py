"""Commands that measure a running system under load."""

from dataclasses import asdict
from pathlib import Path

from fire.decorators import SetParseFn

from ..addresses import (
    parse_entry_urls,
    read_input_file,
    resolve_client_settings,
)
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
from .context import EXIT_FAILED, EXIT_SUCCESS, Action, Context
from .options import parse_flag, parse_integer, parse_number

INTEGER_OPTIONS = ('seed', 'processes', 'upstreams', 'slots', 'jobs')
NUMBER_OPTIONS = ('load', 'duration_s', 'deadline_s', 'at_s')
FLAG_OPTIONS = ('flood', 'alone')


class BenchCommands:
    """Measure a running system and compare the reports."""

    def __init__(self, context: Context) -> None:
        """Stores the options of all commands."""
        self._context = context

    @SetParseFn(str)
    @SetParseFn(parse_flag, *FLAG_OPTIONS)
    @SetParseFn(parse_number, *NUMBER_OPTIONS)
    @SetParseFn(parse_integer, *INTEGER_OPTIONS)
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
        """Generates load and reports response times, costs and violations.

        The load is open-loop: jobs arrive by a schedule, independent of
        earlier responses, and the response time is measured from the
        scheduled arrival. Exits with 1 if an invariant (`promises`
        in the report) is violated.

        Args:
            shape: Load shape: `pickers`, `consortium` or `single`.
            load: Ratio of the offered work to the capacity of all slots.
            duration_s: Time over which jobs arrive.
            seed: Random seed of the schedule.
            entries: Addresses of the entries; default: those of --cluster or
                --entry.
            starts_dir: Folder with the start records of the upstreams.
            processes: Number of worker processes that generate load.
            out: Output file of the report, JSON.
            upstreams: Number of upstreams that serve the load.
            slots: Slots of each upstream.
            flood: The heavy caller submits twice the capacity (consortium).
            alone: Omit the load of the heavy caller (consortium).
            service: Name of the service.
            deadline_s: Deadline of each job.
            fault: Fault to inject: `kill_leader`, `kill_agent`,
                `freeze_agent`, `leave_upstream`, `burst`, `cancel_wave` or
                `stragglers`.
            at_s: Time of the fault from the start of the run.
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
        """Shows the measures of two reports side by side.

        Args:
            first: Report of the run before a change.
            second: Report of the run after the change.
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
        """Plots the ratio of response time to ideal time by percentile.

        Args:
            first: A report.
            second: Another report to plot; optional.
            out: Output file of the plot.
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
            return EXIT_SUCCESS

        return Action(perform)

    @SetParseFn(str)
    @SetParseFn(parse_integer, *INTEGER_OPTIONS)
    def response(
        self,
        *,
        jobs: int = 200,
        seed: int = 1,
        entries: str = '',
        service: str = 'sample',
        out: str = '',
    ) -> Action:
        """Measures the latency that an idle system adds to a job.

        Args:
            jobs: Number of jobs of each kind, each of one task, submitted one
                after another.
            seed: Random seed of the sleep times, 0 to 20 ms.
            entries: Address of the entry; default: that of --entry.
            service: Name of the service.
            out: Output file of the report, JSON.
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

    def _run_entries(self, entry_list: str, cluster: str) -> tuple[str, ...]:
        if entry_list or not cluster:
            return self._entries(entry_list)
        entries = read_cluster(cluster).of_role('entry')
        return tuple(entry.url for entry in entries)

    def _entries(self, entry_list: str) -> tuple[str, ...]:
        if entry_list:
            return parse_entry_urls(entry_list)
        return resolve_client_settings(
            self._context.entry, self._context.settings
        ).entries


def show_report(context: Context, report: Report, out: str) -> int:
    """Writes the report of a load run and returns the exit code.

    The command fails if the run violated an invariant.
    """
    write_report(report.encode(), out)
    if context.as_json:
        write_line(report.encode())
    else:
        for line in format_report(report):
            write_line(line)
    return EXIT_SUCCESS if report.invariants_hold else EXIT_FAILED


def show_comparison(
    context: Context,
    compared: list[ComparedMeasure],
) -> int:
    """Writes the measures of two reports side by side."""
    if context.as_json:
        write_json(
            [
                {**asdict(measure), 'ratio': measure.ratio}
                for measure in compared
            ]
        )
        return EXIT_SUCCESS
    for line in format_comparison(compared):
        write_line(line)
    return EXIT_SUCCESS


def show_response(context: Context, report: ResponseReport, out: str) -> int:
    """Writes the report of a response run and returns the exit code.

    The command fails if a result is wrong or missing.
    """
    write_report(report.encode(), out)
    if context.as_json:
        write_line(report.encode())
        return EXIT_SUCCESS if report.all_correct else EXIT_FAILED
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
    for kind in report.kinds:
        write_line(f'wrong or missing answers of {kind.kind}: {kind.wrong}')
    return EXIT_SUCCESS if report.all_correct else EXIT_FAILED


def write_report(text: str, out: str) -> None:
    """Writes a report to a file, if a file is given.

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
    """Reads the report of an earlier run.

    Raises:
        UsageError: If the file can't be read or is not a JSON object.
    """
    try:
        return Fields.decode(read_input_file(file_name))
    except ValueError as error:
        raise UsageError(f'{file_name}: {error}') from error
