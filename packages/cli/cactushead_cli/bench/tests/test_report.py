"""Tests of reports, their comparison and plot."""

from cactushead_cli.bench.compare import compare_reports, format_comparison
from cactushead_cli.bench.fault_model import FaultNote, fault_effect
from cactushead_cli.bench.percentiles import summarise
from cactushead_cli.bench.plot import plot_reports
from cactushead_cli.bench.promises import RunEvidence
from cactushead_cli.bench.records import JobEnd, JobRecord
from cactushead_cli.bench.report import Measured, make_report
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
    JobRecord(0, JobEnd.COMPLETE, 0.2, 0.0, 1, whole=True),
    JobRecord(1, JobEnd.COMPLETE, 0.6, 0.0, 2, whole=True),
    JobRecord(2, JobEnd.REFUSED, 0.1, 0.0, 1, status=429, error='queue full'),
)


def report(records=RECORDS):
    evidence = RunEvidence('r', SCHEDULE, records, None, {})
    grown = {'sent_frames': 6, 'appended_records': 3}
    measured = Measured(grown, (RoleUsage('entry', 3, 0.6, 50.0),), 2)
    faults = [FaultNote(1.0, 5.0, 'killed')]
    return make_report(SPEC, evidence, measured, faults)


def test_report_counts_complete_jobs_only():
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


def test_cancelled_jobs_stand_in_no_percentile():
    cancelled = JobRecord(
        0, JobEnd.COMPLETE, 9.0, 0.0, 1, whole=True, cancelled=True
    )
    made = report((cancelled, *RECORDS[1:]))
    assert made.ratio.count == 1
    assert made.cancelled == 1


def test_missing_record_breaks_a_promise():
    assert not report(RECORDS[:2]).invariants_hold


def test_summary_says_what_was_not_checked():
    text = '\n'.join(format_report(report()))
    assert 'starts: not checked' in text
    assert 'messages not measured' in text
    assert 'leaders elected during the run: 2' in text
    assert 'processor 0.60 s, 200.00 ms per useful task' in text
    assert 'fault: 1.00 s killed' in text


def test_effect_is_read_from_the_starts():
    starts = [TaskStart('u1', 'r-0', 0, at_s) for at_s in (4.0, 5.5, 9.0)]
    effect = fault_effect(FaultNote(1.0, 5.0, 'killed u1', 'u1'), starts)
    assert (effect.longest_gap_s, effect.last_start_s) == (3.5, 4.0)
    effect = fault_effect(FaultNote(1.0, 10.0, 'killed u1', 'u1'), starts)
    assert (effect.longest_gap_s, effect.last_start_s) == (None, None)


def test_reports_compare_by_ratio():
    first = Fields.decode(report().encode().encode())
    lines = format_comparison(compare_reports(first, first))
    assert lines[0].split() == ['measure', 'A', 'B', 'B/A']
    assert any(line.split()[-1] == '1.000' for line in lines[1:])


def test_plot_is_written(tmp_path):
    found = Fields.decode(report().encode().encode())
    file = tmp_path / 'plot.png'
    plot_reports([found, found], ['A', 'B'], str(file))
    assert file.read_bytes().startswith(b'\x89PNG')


def test_empty_series_has_no_percentiles():
    assert summarise([]).count == 0
    assert summarise([]).max == 0.0
