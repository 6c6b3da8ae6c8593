"""Builds the report of a load run."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

from .costs import Counters, TaskCosts, compute_task_costs
from .fault_effects import FaultEffect, FaultEvent, measure_fault_effect
from .invariants import InvariantCheck, RunObservations, check_invariants
from .percentiles import Percentiles, compute_percentiles
from .records import JobOutcome, JobRecord
from .schedule import PlannedJob
from .shapes import LoadSpec
from .usage import RoleUsage


@dataclass(frozen=True, slots=True)
class CallerReport:
    """Results of one caller's jobs.

    Attributes:
        caller: Name of the caller.
        jobs: Number of jobs that it submitted.
        complete: Number of useful jobs, see `is_useful`.
        ratio: Slowdown: response time divided by the ideal response time.
        added_s: Response time minus the ideal response time.
    """

    caller: str
    jobs: int
    complete: int
    ratio: Percentiles
    added_s: Percentiles


@dataclass(frozen=True, slots=True)
class LabelCount:
    """Number of occurrences of a label."""

    label: str
    count: int


@dataclass(frozen=True, slots=True)
class Report:
    """Results of a load run.

    Attributes:
        run: Prefix of the run's idempotency keys.
        spec: The offered load.
        jobs: Number of jobs in the schedule.
        tasks: Number of tasks of these jobs.
        ends: Number of jobs by outcome.
        cancelled: Number of jobs that the load tool cancelled; they are
            excluded from all percentiles of response times.
        resubmitted: Number of jobs that needed more than one request.
        ratio: Slowdown of useful jobs: response time divided by the ideal
            response time.
        added_s: Response time minus the ideal response time, of useful jobs.
        callers: The same for each caller.
        tasks_per_s: Goodput: tasks of useful jobs divided by the duration of
            the arrivals.
        refusals: Number of refused jobs by status and reason.
        failures: Number of failed jobs by cause.
        costs: Traffic per useful task.
        usage: CPU time and memory by role; empty without a cluster file.
        elections: Leaders elected during the run, None if not measured.
        promises: Results of the invariant checks.
        starts_checked: Whether start records were available, so that the
            invariants on task starts were checked.
        faults: Steps of the injected fault.
        effects: Effect of each step on the task starts.
        send_delay_s: Delay of the first request after the scheduled arrival,
            caused by the load tool itself.
    """

    run: str
    spec: LoadSpec
    jobs: int
    tasks: int
    ends: tuple[LabelCount, ...]
    cancelled: int
    resubmitted: int
    ratio: Percentiles
    added_s: Percentiles
    callers: tuple[CallerReport, ...]
    tasks_per_s: float
    refusals: tuple[LabelCount, ...]
    failures: tuple[LabelCount, ...]
    costs: TaskCosts
    usage: tuple[RoleUsage, ...]
    elections: int | None
    promises: tuple[InvariantCheck, ...]
    starts_checked: bool
    faults: tuple[FaultEvent, ...]
    effects: tuple[FaultEffect, ...]
    send_delay_s: Percentiles

    @property
    def invariants_hold(self) -> bool:
        """Whether no violation of an invariant was found."""
        return not any(check.count for check in self.promises)

    def encode(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(asdict(self), indent=2)


@dataclass(frozen=True, slots=True)
class SystemMeasurements:
    """Measurements of the system's processes over the run.

    Attributes:
        counter_deltas: Increase of the entries' counters.
        usage: CPU time and memory by role.
        elections: Leaders elected, None if not measured.
    """

    counter_deltas: Counters
    usage: tuple[RoleUsage, ...] = ()
    elections: int | None = None


def build_report(
    spec: LoadSpec,
    observations: RunObservations,
    measurements: SystemMeasurements,
    faults: Sequence[FaultEvent],
) -> Report:
    """Returns the report of a run.

    Args:
        spec: The offered load.
        observations: Job records and start records of the run.
        measurements: Measurements of the system's processes.
        faults: Steps of the injected fault.
    """
    schedule = observations.schedule
    records = observations.records
    useful = [record for record in records if is_useful(record)]
    useful_tasks = sum(
        len(schedule[record.index].sleeps_s) for record in useful
    )
    return Report(
        run=observations.run,
        spec=spec,
        jobs=len(schedule),
        tasks=sum(len(job.sleeps_s) for job in schedule.values()),
        ends=_count_labels(record.end.value for record in records),
        cancelled=sum(record.cancelled for record in records),
        resubmitted=sum(record.attempts > 1 for record in records),
        ratio=slowdown_percentiles(spec, schedule, useful),
        added_s=added_time_percentiles(spec, schedule, useful),
        callers=_caller_reports(spec, schedule, records),
        tasks_per_s=useful_tasks / spec.duration_s,
        refusals=_count_labels(
            f'{record.status} {record.error}'
            for record in records
            if record.end is JobOutcome.REFUSED
        ),
        failures=_count_labels(
            record.error
            for record in records
            if record.end is JobOutcome.FAILED
        ),
        costs=compute_task_costs(measurements.counter_deltas, useful_tasks),
        usage=measurements.usage,
        elections=measurements.elections,
        promises=check_invariants(observations),
        starts_checked=observations.starts is not None,
        faults=tuple(faults),
        effects=tuple(
            measure_fault_effect(event, observations.starts or ())
            for event in faults
        ),
        send_delay_s=compute_percentiles(
            record.send_delay_s for record in records
        ),
    )


def is_useful(record: JobRecord) -> bool:
    """Whether a job completed with correct results and wasn't cancelled."""
    complete = record.end is JobOutcome.COMPLETE
    return complete and record.whole and not record.cancelled


def slowdown_percentiles(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    records: Sequence[JobRecord],
) -> Percentiles:
    """Returns percentiles of the slowdown, response time over ideal."""
    return compute_percentiles(
        record.response_s / schedule[record.index].ideal_s(spec.all_slots)
        for record in records
    )


def added_time_percentiles(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    records: Sequence[JobRecord],
) -> Percentiles:
    """Returns percentiles of the response time minus the ideal."""
    return compute_percentiles(
        record.response_s - schedule[record.index].ideal_s(spec.all_slots)
        for record in records
    )


def _caller_reports(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    records: Sequence[JobRecord],
) -> tuple[CallerReport, ...]:
    """Returns a report for each caller, sorted by name."""
    by_caller: dict[str, list[JobRecord]] = {}
    for record in records:
        caller = schedule[record.index].caller
        by_caller.setdefault(caller, []).append(record)
    return tuple(
        _caller_report(spec, schedule, caller, by_caller[caller])
        for caller in sorted(by_caller)
    )


def _caller_report(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    caller: str,
    records: Sequence[JobRecord],
) -> CallerReport:
    useful = [record for record in records if is_useful(record)]
    return CallerReport(
        caller=caller,
        jobs=len(records),
        complete=len(useful),
        ratio=slowdown_percentiles(spec, schedule, useful),
        added_s=added_time_percentiles(spec, schedule, useful),
    )


def _count_labels(labels: Iterable[str]) -> tuple[LabelCount, ...]:
    """Returns the count of each label, the most frequent first."""
    counted = Counter(labels)
    return tuple(
        LabelCount(label, count) for label, count in counted.most_common()
    )
