"""A load run against running processes."""

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
from .costs import counted_between, read_counters
from .fault_model import FaultNote
from .faults import NO_WAVE_S, Fault, FaultPlan, find_fault
from .promises import RunEvidence
from .records import JobEnd, JobRecord, WorkerOrder, decode_records
from .report import Measured, Report, make_report
from .shapes import SHAPES, LoadSpec
from .starts import read_starts
from .usage import read_usage, used_between

WORKER_MODULE = 'cactushead_cli.bench.worker'
WARM_UP_S = 2.0
SETTLE_TRIES = 10
SETTLE_S = 0.5
HTTP_NOT_FOUND = 404
ELECTED = 'leader elected'
FINAL_STATES = frozenset(('complete', 'failed', 'not known'))


@dataclass(frozen=True, slots=True)
class RunOptions:
    """What a load run does.

    Attributes:
        spec: The load, without the fault's part.
        service: Name of the service.
        entries: Addresses of the entries.
        starts_dir: Folder of the start records, empty for none.
        processes: Worker processes of the load tool.
        deadline_s: Deadline of each job.
        fault: Name of a fault, empty for none.
        at_s: When the fault comes.
        cluster_file: File that lists the processes, empty for none.
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
    """One load run, from the plan to the report."""

    def __init__(self, options: RunOptions) -> None:
        """Checks the options and plans the run.

        Raises:
            UsageError: If an option is wrong.
        """
        _check_options(options)
        self._options = options
        self._fault: Fault | None = None
        self._cluster: Cluster | None = None
        self._spec = options.spec
        self._notes: list[FaultNote] = []
        self._records: list[JobRecord] = []
        if options.cluster_file:
            self._cluster = read_cluster(options.cluster_file)
        if options.fault:
            self._fault = find_fault(options.fault)
            self._spec = self._fault.change_load(options.spec, options.at_s)
            if self._fault.needs_cluster and self._cluster is None:
                raise UsageError(f'{options.fault} needs --cluster FILE')
        self._run = f'b{time.time_ns():x}{os.getpid():x}'

    async def perform(self) -> Report:
        """Does the run and works out the report."""
        try:
            return await self._measure()
        finally:
            if self._cluster is not None:
                self._cluster.close()

    async def _measure(self) -> Report:
        begun_s = time.time()
        usage_before = read_usage(self._cluster)
        before = await read_counters(self._options.entries)
        await self._offer_load()
        usage = used_between(usage_before, read_usage(self._cluster))
        final_states = await self._settle()
        after = await read_counters(self._options.entries)
        measured = Measured(
            counted_between(before, after),
            usage,
            await self._count_elections(begun_s),
        )
        starts = None
        if self._options.starts_dir:
            starts = read_starts(self._options.starts_dir, self._run)
        schedule = SHAPES[self._spec.shape].schedule(self._spec)
        evidence = RunEvidence(
            self._run,
            {job.index: job for job in schedule},
            self._records,
            starts,
            final_states,
        )
        return make_report(self._spec, evidence, measured, self._notes)

    async def _count_elections(self, begun_s: float) -> int | None:
        client = Client(HttpcoreTransport(), self._options.entries)
        query = TimelineQuery(since_s=begun_s)
        try:
            events = await client.timeline(query)
        except ClientError:
            return None
        return sum(event.text('kind') == ELECTED for event in events)

    async def _offer_load(self) -> None:
        start_s = time.monotonic() + WARM_UP_S
        async with trio.open_nursery() as nursery:
            if self._fault is not None:
                nursery.start_soon(self._perform_fault, self._fault, start_s)
            for worker in range(self._options.processes):
                nursery.start_soon(self._run_worker, worker, start_s)

    async def _perform_fault(self, fault: Fault, start_s: float) -> None:
        await fault.perform(
            FaultPlan(
                self._options.at_s,
                start_s,
                self._cluster,
                HttpcoreTransport(),
                self._notes,
            ),
        )

    async def _run_worker(self, worker: int, start_s: float) -> None:
        order = self._order(worker, start_s)
        ended = await trio.run_process(
            [sys.executable, '-m', WORKER_MODULE],
            stdin=order.encode(),
            capture_stdout=True,
        )
        self._records.extend(decode_records(ended.stdout))

    def _order(self, worker: int, start_s: float) -> WorkerOrder:
        cancel_at_s = NO_WAVE_S
        if self._fault is not None:
            cancel_at_s = self._fault.cancel_at_s(self._options.at_s)
        return WorkerOrder(
            spec=self._spec,
            run=self._run,
            service=self._options.service,
            entries=self._options.entries,
            deadline_s=self._options.deadline_s,
            worker=worker,
            workers=self._options.processes,
            start_s=start_s,
            cancel_at_s=cancel_at_s,
        )

    async def _settle(self) -> dict[int, str]:
        """Asks how the jobs without an answer ended."""
        client = Client(HttpcoreTransport(), self._options.entries)
        return {
            record.index: await self._final_state(client, record)
            for record in self._records
            if record.end is JobEnd.UNANSWERED
        }

    async def _final_state(self, client: Client, record: JobRecord) -> str:
        state = 'unknown'
        for _ in range(SETTLE_TRIES):
            state = await self._state(client, record)
            if state in FINAL_STATES:
                return state
            await trio.sleep(SETTLE_S)
        return state

    async def _state(self, client: Client, record: JobRecord) -> str:
        key = f'{self._run}-{record.index}'
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
