"""Runs a load test against a running cluster."""

import os
import sys
import time
from dataclasses import dataclass

import trio

from ..client import (
    Client,
    ClientError,
    HttpcoreTransport,
    RefusedError,
    TimelineQuery,
    UsageError,
)
from .cluster import Cluster, read_cluster
from .costs import compute_counter_deltas, read_counters
from .fault_effects import FaultEvent
from .faults import NO_CANCELLATION_S, Fault, FaultContext, find_fault
from .invariants import RunObservations
from .records import JobOutcome, JobRecord, WorkerConfig, decode_records
from .report import Report, SystemMeasurements, build_report
from .shapes import SHAPES, LoadSpec
from .starts import read_starts
from .usage import compute_role_usage, read_usage

WORKER_MODULE = 'cactushead_cli.bench.worker'
START_DELAY_S = 2.0
FINAL_STATE_ATTEMPTS = 10
FINAL_STATE_INTERVAL_S = 0.5
HTTP_NOT_FOUND = 404
LEADER_ELECTED_KIND = 'leader elected'
FINAL_STATES = frozenset(('complete', 'failed', 'not known'))


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of a load run.

    Attributes:
        spec: The offered load, without the jobs that a fault adds.
        service: Name of the service.
        entries: Addresses of the entries.
        starts_dir: Folder of the start records, empty if there are none.
        processes: Number of worker processes of the load tool.
        deadline_s: Deadline of each job.
        fault: Name of the fault to inject, empty for none.
        at_s: Time of the fault, in seconds from the start of the run.
        cluster_file: File that lists the cluster's processes, empty for none.
    """

    spec: LoadSpec
    service: str
    entries: tuple[str, ...]
    starts_dir: str = ''
    processes: int = 2
    deadline_s: float = 30.0
    fault: str = ''
    at_s: float = 5.0
    cluster_file: str = ''


class LoadRun:
    """One load run: offers the load, injects the fault, builds the report."""

    def __init__(self, options: RunOptions) -> None:
        """Validates the options and prepares the run.

        Raises:
            UsageError: If an option is invalid.
        """
        _check_options(options)
        self._options = options
        self._fault: Fault | None = None
        self._cluster: Cluster | None = None
        self._spec = options.spec
        self._fault_events: list[FaultEvent] = []
        self._records: list[JobRecord] = []
        if options.cluster_file:
            self._cluster = read_cluster(options.cluster_file)
        if options.fault:
            self._fault = find_fault(options.fault)
            self._spec = self._fault.change_load(options.spec, options.at_s)
            if self._fault.needs_cluster and self._cluster is None:
                raise UsageError(f'{options.fault} needs --cluster FILE')
        self._run_id = f'b{time.time_ns():x}{os.getpid():x}'

    async def perform(self) -> Report:
        """Runs the load test and returns its report."""
        try:
            return await self._measure()
        finally:
            if self._cluster is not None:
                self._cluster.close()

    async def _measure(self) -> Report:
        started_s = time.time()
        usage_before = read_usage(self._cluster)
        before = await read_counters(self._options.entries)
        await self._offer_load()
        usage = compute_role_usage(usage_before, read_usage(self._cluster))
        final_states = await self._read_final_states()
        after = await read_counters(self._options.entries)
        measurements = SystemMeasurements(
            compute_counter_deltas(before, after),
            usage,
            await self._count_elections(started_s),
        )
        starts = None
        if self._options.starts_dir:
            starts = read_starts(self._options.starts_dir, self._run_id)
        schedule = SHAPES[self._spec.shape].schedule(self._spec)
        observations = RunObservations(
            self._run_id,
            {job.index: job for job in schedule},
            self._records,
            starts,
            final_states,
        )
        return build_report(
            self._spec, observations, measurements, self._fault_events
        )

    async def _count_elections(self, started_s: float) -> int | None:
        """Returns the elections on the time line, None if unavailable."""
        client = Client(HttpcoreTransport(), self._options.entries)
        query = TimelineQuery(since_s=started_s)
        try:
            events = await client.timeline(query)
        except ClientError:
            return None
        return sum(
            event.text('kind') == LEADER_ELECTED_KIND for event in events
        )

    async def _offer_load(self) -> None:
        """Runs the workers and the fault until all jobs have ended.

        Explanation:
            The run starts `START_DELAY_S` after the call, so that the worker
            processes have time to start and generate the schedule.
        """
        start_s = time.monotonic() + START_DELAY_S
        async with trio.open_nursery() as nursery:
            if self._fault is not None:
                nursery.start_soon(self._inject_fault, self._fault, start_s)
            for worker in range(self._options.processes):
                nursery.start_soon(self._run_worker, worker, start_s)

    async def _inject_fault(self, fault: Fault, start_s: float) -> None:
        await fault.inject(
            FaultContext(
                self._options.at_s,
                start_s,
                self._cluster,
                HttpcoreTransport(),
                self._fault_events,
            ),
        )

    async def _run_worker(self, worker: int, start_s: float) -> None:
        """Runs one worker process and collects its job records."""
        config = self._worker_config(worker, start_s)
        completed = await trio.run_process(
            [sys.executable, '-m', WORKER_MODULE],
            stdin=config.encode(),
            capture_stdout=True,
        )
        self._records.extend(decode_records(completed.stdout))

    def _worker_config(self, worker: int, start_s: float) -> WorkerConfig:
        cancel_at_s = NO_CANCELLATION_S
        if self._fault is not None:
            cancel_at_s = self._fault.cancel_at_s(self._options.at_s)
        return WorkerConfig(
            spec=self._spec,
            run=self._run_id,
            service=self._options.service,
            entries=self._options.entries,
            deadline_s=self._options.deadline_s,
            worker=worker,
            workers=self._options.processes,
            start_s=start_s,
            cancel_at_s=cancel_at_s,
        )

    async def _read_final_states(self) -> dict[int, str]:
        """Returns the state of each unanswered job after the run."""
        client = Client(HttpcoreTransport(), self._options.entries)
        return {
            record.index: await self._wait_for_final_state(client, record)
            for record in self._records
            if record.end is JobOutcome.UNANSWERED
        }

    async def _wait_for_final_state(
        self, client: Client, record: JobRecord
    ) -> str:
        """Polls a job until it is in a final state or attempts run out."""
        state = 'unknown'
        for _ in range(FINAL_STATE_ATTEMPTS):
            state = await self._read_state(client, record)
            if state in FINAL_STATES:
                return state
            await trio.sleep(FINAL_STATE_INTERVAL_S)
        return state

    async def _read_state(self, client: Client, record: JobRecord) -> str:
        """Returns a job's state; `not known` if the system has no such job."""
        key = f'{self._run_id}-{record.index}'
        try:
            view = await client.job(self._options.service, key)
        except RefusedError as error:
            known = error.status != HTTP_NOT_FOUND
            return 'unknown' if known else 'not known'
        except ClientError:
            return 'unknown'
        return view.state


def _check_options(options: RunOptions) -> None:
    spec = options.spec
    positive = {
        'load': spec.load,
        'duration_s': spec.duration_s,
        'upstreams': spec.upstreams,
        'slots': spec.slots,
        'processes': options.processes,
        'deadline_s': options.deadline_s,
    }
    findings = [
        f'{name} must be above 0, got {number}'
        for name, number in positive.items()
        if number <= 0
    ]
    if spec.shape not in SHAPES:
        listed = ', '.join(SHAPES)
        findings.append(f'shape must be of {listed}, got {spec.shape!r}')
    if findings:
        raise UsageError('; '.join(findings))
