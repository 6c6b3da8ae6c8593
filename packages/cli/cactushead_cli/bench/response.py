"""Measures the time that an idle system adds to a single job."""

import json
import time
import uuid
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from ..client import (
    Client,
    ClientError,
    HttpRequest,
    JobView,
    Submission,
    TaskInput,
    Transport,
)
from .percentiles import Percentiles, compute_percentiles
from .schedule import Rng

KINDS = ('echo', 'book')
LONGEST_SLEEP_MS = 20
DEADLINE_S = 10.0
WARM_UP_JOBS = 3
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class KindResponse:
    """Time that the idle system adds to jobs of one kind.

    Attributes:
        kind: Request kind.
        added_ms: Response time minus the task's run time.
        wrong: Number of jobs without the correct answer; they are excluded
            from the percentiles.
    """

    kind: str
    added_ms: Percentiles
    wrong: int


@dataclass(frozen=True, slots=True)
class ResponseReport:
    """Time that the idle system adds to jobs.

    Attributes:
        entry: Address of the entry.
        http_ms: Round trip time of a health check request, as a baseline.
        kinds: Measurements of each request kind.
    """

    entry: str
    http_ms: Percentiles
    kinds: tuple[KindResponse, ...]

    @property
    def all_correct(self) -> bool:
        """Whether all jobs had the correct answer."""
        return not any(kind.wrong for kind in self.kinds)

    def encode(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(asdict(self), indent=2)


class ResponseRun:
    """Submits jobs of one task sequentially and measures the added time."""

    def __init__(
        self,
        transport: Transport,
        entry: str,
        service: str,
        seed: int,
    ) -> None:
        """Prepares the run.

        Args:
            transport: Sends the requests.
            entry: Address of the entry.
            service: Name of the service.
            seed: Seed of the tasks' run times.
        """
        self._transport = transport
        self._entry = entry
        self._client = Client(transport, (entry,))
        self._service = service
        self._seed = seed
        self._run_id = uuid.uuid4().hex

    async def perform(self, jobs: int) -> ResponseReport:
        """Submits the jobs of each kind.

        Args:
            jobs: Number of jobs of each kind.
        """
        kinds = [await self._measure_kind(kind, jobs) for kind in KINDS]
        return ResponseReport(
            self._entry,
            compute_percentiles(await self._measure_http(jobs)),
            tuple(kinds),
        )

    async def _measure_kind(self, kind: str, jobs: int) -> KindResponse:
        """Measures jobs of one kind, after a few unmeasured warm-up jobs."""
        rng = Rng(f'{self._seed}/{kind}')
        added_ms: list[float] = []
        wrong = 0
        for number in range(-WARM_UP_JOBS, jobs):
            sleep_ms = rng.uniform(0, LONGEST_SLEEP_MS)
            response_ms = await self._measure_job(kind, number, sleep_ms)
            if response_ms is None:
                wrong += 1
            elif number >= 0:
                added_ms.append(response_ms - sleep_ms)
        return KindResponse(kind, compute_percentiles(added_ms), wrong)

    async def _measure_job(
        self,
        kind: str,
        number: int,
        sleep_ms: float,
    ) -> float | None:
        """Returns a job's response time in ms, None if not correct."""
        key = f'{self._run_id}-{kind}-{number}'
        submission = Submission(
            self._service,
            key,
            kind,
            'bench',
            DEADLINE_S,
            (TaskInput({'value': key, 'sleep_ms': sleep_ms}),),
        )
        started_s = time.perf_counter()
        try:
            view = await self._client.submit(submission)
        except ClientError:
            return None
        elapsed_ms = (time.perf_counter() - started_s) * MS_PER_S
        return elapsed_ms if _is_correct(view, key) else None

    async def _measure_http(self, requests: int) -> Sequence[float]:
        """Returns round trip times in ms of health check requests."""
        elapsed_ms: list[float] = []
        for _ in range(requests):
            started_s = time.perf_counter()
            await self._transport.send(
                self._entry,
                HttpRequest('GET', '/healthz'),
            )
            elapsed_ms.append((time.perf_counter() - started_s) * MS_PER_S)
        return elapsed_ms


def _is_correct(view: JobView, key: str) -> bool:
    return view.state == 'complete' and view.results == (key,)
