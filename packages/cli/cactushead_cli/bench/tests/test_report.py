"""Tests of load reports, their comparison and plot."""

from cactushead_cli.bench.compare import compare_reports, format_comparison
from cactushead_cli.bench.fault_effects import FaultEvent, measure_fault_effect
from cactushead_cli.bench.invariants import RunObservations
from cactushead_cli.bench.percentiles import compute_percentiles
from cactushead_cli.bench.plot import plot_reports
from cactushead_cli.bench.records import JobOutcome, JobRecord
from cactushead_cli.bench.report import SystemMeasurements, build_report
from cactushead_cli.bench.schedule import PlannedJob
from cactushead_cli.bench.shapes import LoadSpec
from cactushead_cli.bench.starts import TaskStart
from cactushead_cli.bench.summary import format_report
from cactushead_cli.bench.usage import RoleUsage
from cactushead_cli.client import Fields

SPEC = LoadSpec('single', 0.5, 10.0, 1, upstreams=1)
SCHEDULE = {
    0: PlannedJob(0, 0.0, 'ann', 'echo', (0.1,)),
    1: PlannedJob(1, 0.5, 'bob', 'book', (0.2, 0.4)),
    2: PlannedJob(2, 0.7, 'bob', 'book', (0.2,)),
}
RECORDS = (
    JobRecord(0, JobOutcome.COMPLETE, 0.2, 0.0, 1, whole=True),
    JobRecord(1, JobOutcome.COMPLETE, 0.6, 0.0, 2, whole=True),
    JobRecord(
        2, JobOutcome.REFUSED, 0.1, 0.0, 1, status=429, error='queue full'
    ),
)


def report(records=RECORDS):
    observations = RunObservations('r', SCHEDULE, records, None, {})
    counter_deltas = {'sent_frames': 6, 'appended_records': 3}
    measurements = SystemMeasurements(
        counter_deltas, (RoleUsage('entry', 3, 0.6, 50.0),), 2
    )
    faults = [FaultEvent(1.0, 5.0, 'killed')]
    return build_report(SPEC, observations, measurements, faults)


def test_report_measures_only_complete_jobs():
    made = report()
    assert (made.jobs, made.tasks, made.ratio.count) == (3, 4, 2)
    assert abs(made.ratio.max - 2.0) < 0.01
    assert abs(made.added_s.p50 - 0.1) < 0.001
    assert made.tasks_per_s == 0.3
    assert made.resubmitted == 1
    assert [(found.label, found.count) for found in made.refusals] == [
        ('429 queue full', 1)
    ]
    assert made.costs.frames == 2.0
    assert made.invariants_hold


def test_cancelled_jobs_are_excluded_from_percentiles():
    cancelled = JobRecord(
        0, JobOutcome.COMPLETE, 9.0, 0.0, 1, whole=True, cancelled=True
    )
    made = report((cancelled, *RECORDS[1:]))
    assert made.ratio.count == 1
    assert made.cancelled == 1


def test_missing_record_violates_an_invariant():
    assert not report(RECORDS[:2]).invariants_hold


def test_summary_lists_checks_measures_and_faults():
    text = '\n'.join(format_report(report()))
    assert 'starts: not checked' in text
    assert 'messages not measured' in text
    assert 'leaders elected during the run: 2' in text
    assert 'processor 0.60 s, 200.00 ms per useful task' in text
    assert 'fault: 1.00 s killed' in text


def test_fault_effect_is_computed_from_the_starts():
    starts = [TaskStart('u1', 'r-0', 0, at_s) for at_s in (4.0, 5.5, 9.0)]
    effect = measure_fault_effect(
        FaultEvent(1.0, 5.0, 'killed u1', 'u1'), starts
    )
    assert (effect.longest_gap_s, effect.last_start_s) == (3.5, 4.0)
    effect = measure_fault_effect(
        FaultEvent(1.0, 10.0, 'killed u1', 'u1'), starts
    )
    assert (effect.longest_gap_s, effect.last_start_s) == (None, None)


def test_comparison_shows_ratios():
    first = Fields.decode(report().encode().encode())
    lines = format_comparison(compare_reports(first, first))
    assert lines[0].split() == ['measure', 'A', 'B', 'B/A']
    assert any(line.split()[-1] == '1.000' for line in lines[1:])


def test_plot_is_written(tmp_path):
    found = Fields.decode(report().encode().encode())
    file = tmp_path / 'plot.png'
    plot_reports([found, found], ['A', 'B'], str(file))
    assert file.read_bytes().startswith(b'\x89PNG')


def test_percentiles_of_an_empty_series_are_zero():
    assert compute_percentiles([]).count == 0
    assert compute_percentiles([]).max == 0.0
