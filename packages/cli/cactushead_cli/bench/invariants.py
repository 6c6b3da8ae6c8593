"""Checks the invariants of the system after a load run."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .records import JobOutcome, JobRecord
from .schedule import PlannedJob
from .starts import TaskStart, count_starts

MAX_CASES = 10


@dataclass(frozen=True, slots=True)
class InvariantCheck:
    """Result of the check of one invariant.

    Attributes:
        promise: Description of a violation of the invariant.
        count: Number of cases.
        cases: The first cases, at most `MAX_CASES`.
    """

    promise: str
    count: int
    cases: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RunObservations:
    """Data of a run that the checks use.

    Attributes:
        run: Prefix of the run's idempotency keys.
        schedule: The planned jobs by index.
        records: Result of each job.
        starts: Starts at the upstreams, None if there are no records.
        final_states: State of each unanswered job after the run, by index.
    """

    run: str
    schedule: Mapping[int, PlannedJob]
    records: Sequence[JobRecord]
    starts: Sequence[TaskStart] | None
    final_states: Mapping[int, str]


def check_invariants(
    observations: RunObservations,
) -> tuple[InvariantCheck, ...]:
    """Returns the result of each check, with or without violations.

    Explanation:
        Without start records of the upstreams the checks that need them are
        omitted, so that they aren't reported as passed.

    Args:
        observations: Data of the run.
    """
    checked = [
        _check('answer is not whole', _wrong_results(observations)),
        _check('job never ended', _unfinished_jobs(observations)),
        _check('job without a record', _unrecorded_jobs(observations)),
    ]
    if observations.starts is not None:
        counts = count_starts(observations.starts)
        checked += [
            _check('task started twice', _duplicate_starts(counts)),
            _check(
                'start of an unknown task',
                _unplanned_starts(observations, counts),
            ),
            _check(
                'said not run, but started',
                _started_though_not_run(observations),
            ),
            _check(
                'complete without a start',
                _tasks_without_start(observations, counts),
            ),
        ]
    return tuple(checked)


def _check(violation: str, cases: Iterable[str]) -> InvariantCheck:
    """Returns the result of a check that found the listed cases."""
    listed = list(cases)
    return InvariantCheck(violation, len(listed), tuple(listed[:MAX_CASES]))


def _wrong_results(observations: RunObservations) -> list[str]:
    """Lists complete jobs whose answer lacks a correct result."""
    return [
        f'{observations.run}-{record.index}'
        for record in observations.records
        if record.end is JobOutcome.COMPLETE and not record.whole
    ]


def _unfinished_jobs(observations: RunObservations) -> list[str]:
    """Lists unanswered jobs that weren't in a final state after the run."""
    return [
        f'{observations.run}-{index} {state}'
        for index, state in observations.final_states.items()
        if state in {'queued', 'running', 'unknown'}
    ]


def _unrecorded_jobs(observations: RunObservations) -> list[str]:
    """Lists planned jobs that no worker returned a record of."""
    recorded = {record.index for record in observations.records}
    return [
        f'{observations.run}-{index}'
        for index in observations.schedule
        if index not in recorded
    ]


def _duplicate_starts(counts: 'Counter[tuple[str, int]]') -> list[str]:
    """Lists tasks with more than one start."""
    return [
        f'{key}/{index} {count} starts'
        for (key, index), count in counts.items()
        if count > 1
    ]


def _unplanned_starts(
    observations: RunObservations,
    counts: 'Counter[tuple[str, int]]',
) -> list[str]:
    """Lists starts of tasks that aren't in the schedule."""
    known = {
        (job.key(observations.run), index)
        for job in observations.schedule.values()
        for index in range(len(job.sleeps_s))
    }
    return [
        f'{key}/{index}' for key, index in counts if (key, index) not in known
    ]


def _started_though_not_run(observations: RunObservations) -> list[str]:
    """Lists jobs with a task start though an answer stated none ran."""
    started = {start.job_key for start in observations.starts or ()}
    keys = (
        f'{observations.run}-{record.index}'
        for record in observations.records
        if record.said_not_run
    )
    return [key for key in keys if key in started]


def _tasks_without_start(
    observations: RunObservations,
    counts: 'Counter[tuple[str, int]]',
) -> list[str]:
    """Lists tasks of complete jobs that have no start record."""
    complete = [
        observations.schedule[record.index]
        for record in observations.records
        if record.end is JobOutcome.COMPLETE
    ]
    return [
        f'{job.key(observations.run)}/{index}'
        for job in complete
        for index in range(len(job.sleeps_s))
        if (job.key(observations.run), index) not in counts
    ]
