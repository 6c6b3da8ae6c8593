"""Time that the system adds to one idle job."""

import json
import time
import uuid
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from ..client import (
    Client,
    ClientError,
    HttpCall,
    JobView,
    Submission,
    TaskInput,
    Transport,
)
from .percentiles import Percentiles, summarise
from .schedule import Rng

KINDS = ('echo', 'book')
LONGEST_SLEEP_MS = 20
DEADLINE_S = 10.0
WARM_UP_JOBS = 3
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class KindResponse:
    """Time added to idle jobs of one kind.

    Attributes:
        kind: Request kind.
        added_ms: Response less the task's sleep.
        wrong: Jobs without the right answer; they stand in no percentile.
    """

    kind: str
    added_ms: Percentiles
    wrong: int


@dataclass(frozen=True, slots=True)
class ResponseReport:
    """Time added to idle jobs.

    Attributes:
        entry: Address of the entry.
        http_ms: Round trip of a request that needs no work, for comparison.
        kinds: One report for each kind.
    """

    entry: str
    http_ms: Percentiles
    kinds: tuple[KindResponse, ...]

    @property
    def all_correct(self) -> bool:
        """Whether each job had the right answer."""
        return not any(kind.wrong for kind in self.kinds)

    def encode(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(asdict(self), indent=2)


class ResponseRun:
    """Jobs of one task, one after another."""

    def __init__(
        self,
        transport: Transport,
        entry: str,
        service: str,
        seed: int,
    ) -> None:
        """Prepares the run.

        Args:
            transport: Carries the requests.
            entry: Address of the entry.
            service: Name of the service.
            seed: Seed of the sleeps.
        """
        self._transport = transport
        self._entry = entry
        self._client = Client(transport, (entry,))
        self._service = service
        self._seed = seed
        self._run = uuid.uuid4().hex

    async def perform(self, jobs: int) -> ResponseReport:
        """Submits the jobs of each kind.

        Args:
            jobs: Number of jobs of each kind.
        """
        kinds = [await self._measure_kind(kind, jobs) for kind in KINDS]
        return ResponseReport(
            self._entry,
            summarise(await self._measure_http(jobs)),
            tuple(kinds),
        )

    async def _measure_kind(self, kind: str, jobs: int) -> KindResponse:
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
        return KindResponse(kind, summarise(added_ms), wrong)

    async def _measure_job(
        self,
        kind: str,
        number: int,
        sleep_ms: float,
    ) -> float | None:
        key = f'{self._run}-{kind}-{number}'
        submission = Submission(
            self._service,
            key,
            kind,
            'bench',
            DEADLINE_S,
            (TaskInput({'value': key, 'sleep_ms': sleep_ms}),),
        )
        begun_s = time.perf_counter()
        try:
            view = await self._client.submit(submission)
        except ClientError:
            return None
        passed_ms = (time.perf_counter() - begun_s) * MS_PER_S
        return passed_ms if _is_right(view, key) else None

    async def _measure_http(self, calls: int) -> Sequence[float]:
        passed_ms: list[float] = []
        for _ in range(calls):
            begun_s = time.perf_counter()
            await self._transport.send(
                self._entry,
                HttpCall('GET', '/healthz'),
            )
            passed_ms.append((time.perf_counter() - begun_s) * MS_PER_S)
        return passed_ms


def _is_right(view: JobView, key: str) -> bool:
    return view.state == 'complete' and view.results == (key,)
