"""Checks of a run against what must always hold."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .records import JobEnd, JobRecord
from .schedule import PlannedJob
from .starts import TaskStart, count_starts

SHOWN_CASES = 10


@dataclass(frozen=True, slots=True)
class Broken:
    """How often one promise was broken.

    Attributes:
        promise: The promise, in the negative.
        count: Number of cases.
        cases: The first of them.
    """

    promise: str
    count: int
    cases: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RunEvidence:
    """All that the checks look at.

    Attributes:
        run: Prefix of the run's idempotency keys.
        schedule: The planned jobs by index.
        records: What became of each job.
        starts: Starts at the upstreams, None if there are no records.
        final_states: State after the run of jobs without an answer, by
            index.
    """

    run: str
    schedule: Mapping[int, PlannedJob]
    records: Sequence[JobRecord]
    starts: Sequence[TaskStart] | None
    final_states: Mapping[int, str]


def check_promises(evidence: RunEvidence) -> tuple[Broken, ...]:
    """Returns one entry for each promise, broken or not.

    Explanation:
        What needs the upstreams' start records is left out when there are
        none, so that it isn't taken for checked.

    Args:
        evidence: What the run left.
    """
    checked = [
        _broken('answer is not whole', _wrong_answers(evidence)),
        _broken('job never ended', _never_ended(evidence)),
        _broken('job without a record', _lost_jobs(evidence)),
    ]
    if evidence.starts is not None:
        counts = count_starts(evidence.starts)
        checked += [
            _broken('task started twice', _double_starts(counts)),
            _broken('start of an unknown task', _stray(evidence, counts)),
            _broken('said not run, but started', _not_run(evidence)),
            _broken('complete without a start', _unstarted(evidence, counts)),
        ]
    return tuple(checked)


def _broken(promise: str, cases: Iterable[str]) -> Broken:
    listed = list(cases)
    return Broken(promise, len(listed), tuple(listed[:SHOWN_CASES]))


def _wrong_answers(evidence: RunEvidence) -> list[str]:
    return [
        f'{evidence.run}-{record.index}'
        for record in evidence.records
        if record.end is JobEnd.COMPLETE and not record.whole
    ]


def _never_ended(evidence: RunEvidence) -> list[str]:
    return [
        f'{evidence.run}-{index} {state}'
        for index, state in evidence.final_states.items()
        if state in {'queued', 'running', 'unknown'}
    ]


def _lost_jobs(evidence: RunEvidence) -> list[str]:
    recorded = {record.index for record in evidence.records}
    return [
        f'{evidence.run}-{index}'
        for index in evidence.schedule
        if index not in recorded
    ]


def _double_starts(counts: 'Counter[tuple[str, int]]') -> list[str]:
    return [
        f'{key}/{index} {count} starts'
        for (key, index), count in counts.items()
        if count > 1
    ]


def _stray(
    evidence: RunEvidence,
    counts: 'Counter[tuple[str, int]]',
) -> list[str]:
    known = {
        (job.key(evidence.run), index)
        for job in evidence.schedule.values()
        for index in range(len(job.sleeps_s))
    }
    return [
        f'{key}/{index}' for key, index in counts if (key, index) not in known
    ]


def _not_run(evidence: RunEvidence) -> list[str]:
    started = {start.job_key for start in evidence.starts or ()}
    keys = (
        f'{evidence.run}-{record.index}'
        for record in evidence.records
        if record.said_not_run
    )
    return [key for key in keys if key in started]


def _unstarted(
    evidence: RunEvidence,
    counts: 'Counter[tuple[str, int]]',
) -> list[str]:
    complete = [
        evidence.schedule[record.index]
        for record in evidence.records
        if record.end is JobEnd.COMPLETE
    ]
    return [
        f'{job.key(evidence.run)}/{index}'
        for job in complete
        for index in range(len(job.sleeps_s))
        if (job.key(evidence.run), index) not in counts
    ]
