"""The report of a load run."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

from .costs import Counters, TaskCosts, task_costs
from .fault_model import FaultEffect, FaultNote, fault_effect
from .percentiles import Percentiles, summarise
from .promises import Broken, RunEvidence, check_promises
from .records import JobEnd, JobRecord
from .schedule import PlannedJob
from .shapes import LoadSpec
from .usage import RoleUsage


@dataclass(frozen=True, slots=True)
class CallerReport:
    """One caller's share of the run.

    Attributes:
        caller: Name of the caller.
        jobs: Jobs that it submitted.
        complete: Jobs that were answered whole.
        ratio: Response over ideal.
        added_s: Response less ideal.
    """

    caller: str
    jobs: int
    complete: int
    ratio: Percentiles
    added_s: Percentiles


@dataclass(frozen=True, slots=True)
class Tally:
    """How often something was seen."""

    label: str
    count: int


@dataclass(frozen=True, slots=True)
class Report:
    """What a load run measured.

    Attributes:
        run: Prefix of the run's idempotency keys.
        spec: The load.
        jobs: Jobs of the schedule.
        tasks: Their tasks.
        ends: How jobs ended.
        cancelled: Jobs that the wave of cancellations hit; they stand in no
            percentile.
        resubmitted: Jobs that took more than one request.
        ratio: Response over ideal, of complete jobs.
        added_s: Response less ideal, of complete jobs.
        callers: The same for each caller.
        tasks_per_s: Tasks of complete jobs over the arrival time.
        refusals: Refusals by status and reason.
        failures: Failed jobs by cause.
        costs: Traffic for each useful task.
        usage: Processor time and memory by role; empty without a cluster
            file.
        elections: Leaders elected during the run, None if not measured.
        promises: The promises that were checked.
        starts_checked: Whether start records were there to check.
        faults: What was done to the system.
        effects: What the start records show after each of these.
        send_delay_s: How late the load tool itself was.
    """

    run: str
    spec: LoadSpec
    jobs: int
    tasks: int
    ends: tuple[Tally, ...]
    cancelled: int
    resubmitted: int
    ratio: Percentiles
    added_s: Percentiles
    callers: tuple[CallerReport, ...]
    tasks_per_s: float
    refusals: tuple[Tally, ...]
    failures: tuple[Tally, ...]
    costs: TaskCosts
    usage: tuple[RoleUsage, ...]
    elections: int | None
    promises: tuple[Broken, ...]
    starts_checked: bool
    faults: tuple[FaultNote, ...]
    effects: tuple[FaultEffect, ...]
    send_delay_s: Percentiles

    @property
    def invariants_hold(self) -> bool:
        """Whether no promise was broken."""
        return not any(broken.count for broken in self.promises)

    def encode(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(asdict(self), indent=2)


@dataclass(frozen=True, slots=True)
class Measured:
    """What the processes of the system showed over the run.

    Attributes:
        grown: Growth of the counters.
        usage: Processor time and memory by role.
        elections: Leaders elected, None if not measured.
    """

    grown: Counters
    usage: tuple[RoleUsage, ...] = ()
    elections: int | None = None


def make_report(
    spec: LoadSpec,
    evidence: RunEvidence,
    measured: Measured,
    faults: Sequence[FaultNote],
) -> Report:
    """Works out the report.

    Args:
        spec: The load.
        evidence: What the run left.
        measured: What the processes showed.
        faults: What was done to the system.
    """
    schedule = evidence.schedule
    records = evidence.records
    whole = [record for record in records if is_useful(record)]
    useful_tasks = sum(len(schedule[record.index].sleeps_s) for record in whole)
    return Report(
        run=evidence.run,
        spec=spec,
        jobs=len(schedule),
        tasks=sum(len(job.sleeps_s) for job in schedule.values()),
        ends=_tally(record.end.value for record in records),
        cancelled=sum(record.cancelled for record in records),
        resubmitted=sum(record.attempts > 1 for record in records),
        ratio=ratios(spec, schedule, whole),
        added_s=added(spec, schedule, whole),
        callers=_callers(spec, schedule, records),
        tasks_per_s=useful_tasks / spec.duration_s,
        refusals=_tally(
            f'{record.status} {record.error}'
            for record in records
            if record.end is JobEnd.REFUSED
        ),
        failures=_tally(
            record.error for record in records if record.end is JobEnd.FAILED
        ),
        costs=task_costs(measured.grown, useful_tasks),
        usage=measured.usage,
        elections=measured.elections,
        promises=check_promises(evidence),
        starts_checked=evidence.starts is not None,
        faults=tuple(faults),
        effects=tuple(
            fault_effect(note, evidence.starts or ()) for note in faults
        ),
        send_delay_s=summarise(record.send_delay_s for record in records),
    )


def is_useful(record: JobRecord) -> bool:
    """Whether a job was answered whole and not cancelled."""
    complete = record.end is JobEnd.COMPLETE
    return complete and record.whole and not record.cancelled


def ratios(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    records: Sequence[JobRecord],
) -> Percentiles:
    """Returns percentiles of response over ideal."""
    return summarise(
        record.response_s / schedule[record.index].ideal_s(spec.all_slots)
        for record in records
    )


def added(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    records: Sequence[JobRecord],
) -> Percentiles:
    """Returns percentiles of response less ideal."""
    return summarise(
        record.response_s - schedule[record.index].ideal_s(spec.all_slots)
        for record in records
    )


def _callers(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    records: Sequence[JobRecord],
) -> tuple[CallerReport, ...]:
    by_caller: dict[str, list[JobRecord]] = {}
    for record in records:
        caller = schedule[record.index].caller
        by_caller.setdefault(caller, []).append(record)
    return tuple(
        _caller(spec, schedule, caller, by_caller[caller])
        for caller in sorted(by_caller)
    )


def _caller(
    spec: LoadSpec,
    schedule: Mapping[int, PlannedJob],
    caller: str,
    records: Sequence[JobRecord],
) -> CallerReport:
    whole = [record for record in records if is_useful(record)]
    return CallerReport(
        caller=caller,
        jobs=len(records),
        complete=len(whole),
        ratio=ratios(spec, schedule, whole),
        added_s=added(spec, schedule, whole),
    )


def _tally(labels: Iterable[str]) -> tuple[Tally, ...]:
    counted = Counter(labels)
    return tuple(Tally(label, count) for label, count in counted.most_common())
