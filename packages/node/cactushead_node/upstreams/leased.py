"""Leased runs at an upstream that answers each task in one exchange."""

import logging
import time
from dataclasses import dataclass
from functools import partial

import trio
from cactushead_core.agents.model import Assignment, OutcomeStatus
from cactushead_core.effects import StartRun, StopRun
from cactushead_core.events import (
    RunEnded,
    StopEnded,
    UpstreamChecked,
)
from cactushead_core.jobs import JobId
from cactushead_core.leasing import (
    HeartbeatReceived,
    LeasesRenewed,
    RenewalFailed,
    RenewLeases,
    StartAnswer,
    StartCallCompleted,
    StartLeased,
    StopCallCompleted,
    StopLeased,
    UpstreamIdentity,
    UpstreamState,
)
from cactushead_core.leasing.model import Heartbeat
from cactushead_core.tasks import Resources, RunEnd, TaskRef

from ..fleet.ports import LeasedUpstream
from ..ports import Clock, EventFactory
from .client import UpstreamClient
from .lease_book import LeaseBook
from .target import UpstreamTarget

MILLISECONDS = 1000
# A task's own limit is its lease; this one only bounds the exchange.
LONGEST_RUN_S = 600.0
# Ends and lapses are looked for as often as the agent's loop turns.
TURN_S = 0.02

_ENDS = {
    OutcomeStatus.SUCCEEDED: RunEnd.DONE,
    OutcomeStatus.FAILED: RunEnd.FAILED,
    OutcomeStatus.CANCELLED: RunEnd.STOPPED,
    OutcomeStatus.REFUSED: RunEnd.LOST,
}

_log = logging.getLogger('cactushead.upstream')


@dataclass(slots=True)
class _Exchange:
    """The exchange of one run.

    Attributes:
        task: Its task.
        broken: Whether it is over and the task may run on all the same.
    """

    task: TaskRef
    broken: bool = False


class HttpLeasedUpstream(LeasedUpstream):
    """Runs tasks under leases at an upstream of the project's protocol.

    Explanation:
        The upstream knows neither leases nor tokens, so they are kept in
        this process; a run whose lease is over is stopped. Runs whose agent
        dies end when their connection breaks, as the upstream finds.
    """

    def __init__(
        self,
        target: UpstreamTarget,
        service: str,
        now: Clock,
    ) -> None:
        """Makes no call yet.

        Args:
            target: The upstream.
            service: Service that it belongs to.
            now: The process's clock.
        """
        super().__init__()
        self.identity = UpstreamIdentity(
            target.spec.name,
            int(time.time() * MILLISECONDS),
        )
        self._target = target
        self._service = service
        self._now = now
        self._book = LeaseBook()
        self._client = UpstreamClient(target, self._take, now)
        self._exchanges: dict[str, _Exchange] = {}
        self._sequence = 0

    async def _begin(self, nursery: trio.Nursery) -> None:
        await nursery.start(self._client.run)
        nursery.start_soon(self._watch_leases)

    def start(self, effect: StartLeased) -> None:
        """Sends the task, unless a rule of leases is against it."""
        answer = self._book.judge(effect, self._clock_ms())
        if answer is None:
            answer = StartAnswer.STARTED
            self._send(effect)
        self._tell(
            StartCallCompleted(
                0.0,
                self.identity,
                effect.task,
                effect.run,
                answer,
                self._clock_ms(),
                '' if answer is StartAnswer.STARTED else answer.value,
            ),
        )

    def stop(self, effect: StopLeased) -> None:
        """Stops the run and refuses it from now on."""
        confirmed = not self._book.fences(effect.token)
        if confirmed and self._book.stopped(effect):
            self._request_stop(effect.task)
        self._tell(
            StopCallCompleted(
                0.0,
                self.identity,
                effect.task,
                effect.run,
                confirmed,
            ),
        )

    def renew(self, effect: RenewLeases) -> None:
        """Renews the leases and lists, after an end or the wait."""
        self._spawn(partial(self._renew, self._now()), effect)

    async def _renew(self, sent_s: float, effect: RenewLeases) -> None:
        if self._book.fences(effect.token):
            failed = RenewalFailed(
                0.0,
                self.identity,
                refused=False,
                fenced=True,
                cause='a higher token was seen',
            )
            self._tell(failed)
            return
        self._book.forget(effect.acknowledged)
        self._book.renew(effect.lease_end_ms, self._clock_ms())
        with trio.move_on_after(effect.wait_s):
            while not self._book.ends():
                await trio.sleep(TURN_S)
        self._tell(
            LeasesRenewed(
                0.0,
                self.identity,
                sent_s,
                self._clock_ms(),
                self._book.running(),
                self._book.ends(),
            ),
        )

    async def _watch_leases(self) -> None:
        while True:
            for task in self._book.lapse(self._clock_ms()):
                _log.warning(
                    'upstream: the lease of task %s.%s.%s is over',
                    task.job,
                    task.step,
                    task.index,
                )
                self._request_stop(task)
            await trio.sleep(TURN_S)

    def _send(self, effect: StartLeased) -> None:
        task = effect.task
        assignment = Assignment(
            JobId(self._service, f'{task.job}.{task.step}.{effect.run}'),
            task.index,
            effect.run,
            '',
            0,
            LONGEST_RUN_S,
            effect.payload.encode('utf-8'),
        )
        self._book.started(effect, self._clock_ms())
        self._exchanges[assignment.task_id] = _Exchange(task)
        lease_s = (effect.lease_end_ms - self._clock_ms()) / MILLISECONDS
        self._client.start(StartRun(assignment, self._now() + lease_s))

    def _request_stop(self, task: TaskRef) -> None:
        for task_id, exchange in self._exchanges.items():
            if exchange.task == task:
                self._client.stop(StopRun(task_id))

    def _take(self, make: EventFactory) -> None:
        """Takes what the client of the upstream found."""
        match make(self._now()):
            case RunEnded(outcome=outcome):
                task_id = outcome.job.task_id(outcome.index)
                self._take_outcome(task_id, outcome.status)
            case StopEnded(task_id=task_id, stopped=stopped):
                self._take_stop(task_id, stopped=stopped)
            case UpstreamChecked(upstream=spec) if spec is not None:
                self._announce()
            case _:
                # An upstream that is down sends no heartbeat.
                return

    def _take_outcome(self, task_id: str, status: OutcomeStatus) -> None:
        if status is OutcomeStatus.UNKNOWN:
            # It ends once the upstream says that it runs no more.
            self._exchanges[task_id].broken = True
            self._client.stop(StopRun(task_id))
            return
        exchange = self._exchanges.pop(task_id)
        self._book.ended(exchange.task, _ENDS[status])

    def _take_stop(self, task_id: str, *, stopped: bool) -> None:
        exchange = self._exchanges.get(task_id)
        if exchange is None:
            return
        if not stopped:
            self._client.stop(StopRun(task_id))
        elif exchange.broken:
            self._exchanges.pop(task_id)
            self._book.ended(exchange.task, RunEnd.LOST)

    def _announce(self) -> None:
        self._sequence += 1
        spec = self._target.spec
        self._tell(
            HeartbeatReceived(
                0.0,
                Heartbeat(
                    self.identity,
                    self._sequence,
                    self._service,
                    UpstreamState.READY,
                    Resources(
                        int(spec.cores * MILLISECONDS), int(spec.memory_mb)
                    ),
                    (spec.rack,) if spec.rack else (),
                    f'{self._target.host}:{self._target.port}',
                    self._clock_ms(),
                ),
            ),
        )

    def _clock_ms(self) -> int:
        return int(self._now() * MILLISECONDS)
