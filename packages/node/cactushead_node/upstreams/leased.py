"""Leased runs at an upstream that completes a task in one HTTP exchange."""

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
from .lease_table import LeaseTable
from .target import UpstreamTarget

MS_PER_S = 1000
# Upper bound of one HTTP exchange; the duration of a run is limited by its
# lease.
EXCHANGE_TIMEOUT_S = 600.0
# Polling interval for ended runs and expired leases, as long as an iteration
# of the agent's event loop.
LEASE_POLL_S = 0.02

_RUN_ENDS = {
    OutcomeStatus.SUCCEEDED: RunEnd.DONE,
    OutcomeStatus.FAILED: RunEnd.FAILED,
    OutcomeStatus.CANCELLED: RunEnd.STOPPED,
    OutcomeStatus.REFUSED: RunEnd.LOST,
}

_log = logging.getLogger('cactushead.upstream')


@dataclass(slots=True)
class _RunExchange:
    """HTTP exchange of one run.

    Attributes:
        task: Task of the run.
        broken: Whether the exchange failed while the task may still run.
    """

    task: TaskRef
    broken: bool = False


class HttpLeasedUpstream(LeasedUpstream):
    """Runs tasks under leases at an upstream with the project's protocol.

    Explanation:
        The protocol has neither leases nor fencing tokens, so this process
        tracks them and stops runs whose lease has expired. If the agent
        crashes, the upstream detects the broken connections and ends the runs.
    """

    def __init__(
        self,
        target: UpstreamTarget,
        service: str,
        now: Clock,
    ) -> None:
        """Creates a client that can make calls once `run` has started.

        Args:
            target: Address and specification of the upstream.
            service: Service of the upstream.
            now: Clock of the process, in seconds.
        """
        super().__init__()
        self.identity = UpstreamIdentity(
            target.spec.name,
            int(time.time() * MS_PER_S),
        )
        self._target = target
        self._service = service
        self._now = now
        self._leases = LeaseTable()
        self._client = UpstreamClient(target, self._handle_client_event, now)
        self._exchanges: dict[str, _RunExchange] = {}
        self._sequence = 0

    async def _start_background_tasks(self, nursery: trio.Nursery) -> None:
        await nursery.start(self._client.run)
        nursery.start_soon(self._watch_leases)

    def start(self, effect: StartLeased) -> None:
        """Starts a run, unless its token, number or lease forbids it."""
        answer = self._leases.check_start(effect, self._clock_ms())
        if answer is None:
            answer = StartAnswer.STARTED
            self._send(effect)
        self._deliver_event(
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
        """Stops a run and refuses later starts of it."""
        confirmed = not self._leases.observe_token(effect.token)
        if confirmed and self._leases.record_stop(effect):
            self._request_stop(effect.task)
        self._deliver_event(
            StopCallCompleted(
                0.0,
                self.identity,
                effect.task,
                effect.run,
                confirmed,
            ),
        )

    def renew(self, effect: RenewLeases) -> None:
        """Renews the leases, then lists runs and ends.

        Explanation:
            The list is delivered once there is an unacknowledged end, at
            the latest after the requested wait.
        """
        self._spawn(partial(self._renew, self._now()), effect)

    async def _renew(self, sent_s: float, effect: RenewLeases) -> None:
        if self._leases.observe_token(effect.token):
            failed = RenewalFailed(
                0.0,
                self.identity,
                refused=False,
                fenced=True,
                cause='a higher token was seen',
            )
            self._deliver_event(failed)
            return
        self._leases.acknowledge(effect.acknowledged)
        self._leases.renew(effect.lease_end_ms, self._clock_ms())
        with trio.move_on_after(effect.wait_s):
            while not self._leases.unacknowledged_ends():
                await trio.sleep(LEASE_POLL_S)
        self._deliver_event(
            LeasesRenewed(
                0.0,
                self.identity,
                sent_s,
                self._clock_ms(),
                self._leases.running_runs(),
                self._leases.unacknowledged_ends(),
            ),
        )

    async def _watch_leases(self) -> None:
        """Stops runs whose leases expire, until cancelled."""
        while True:
            for task in self._leases.expire(self._clock_ms()):
                _log.warning(
                    'upstream: the lease of task %s.%s.%s is over',
                    task.job,
                    task.step,
                    task.index,
                )
                self._request_stop(task)
            await trio.sleep(LEASE_POLL_S)

    def _send(self, effect: StartLeased) -> None:
        """Records a run and sends its task; its lease limits the start."""
        task = effect.task
        assignment = Assignment(
            JobId(self._service, f'{task.job}.{task.step}.{effect.run}'),
            task.index,
            effect.run,
            '',
            0,
            EXCHANGE_TIMEOUT_S,
            effect.payload.encode('utf-8'),
        )
        self._leases.record_start(effect, self._clock_ms())
        self._exchanges[assignment.task_id] = _RunExchange(task)
        lease_s = (effect.lease_end_ms - self._clock_ms()) / MS_PER_S
        self._client.start(StartRun(assignment, self._now() + lease_s))

    def _request_stop(self, task: TaskRef) -> None:
        """Requests the stop of all runs of a task."""
        for task_id, exchange in self._exchanges.items():
            if exchange.task == task:
                self._client.stop(StopRun(task_id))

    def _handle_client_event(self, make: EventFactory) -> None:
        """Handles an event of the upstream client."""
        match make(self._now()):
            case RunEnded(outcome=outcome):
                task_id = outcome.job.task_id(outcome.index)
                self._handle_outcome(task_id, outcome.status)
            case StopEnded(task_id=task_id, stopped=stopped):
                self._handle_stop_result(task_id, stopped=stopped)
            case UpstreamChecked(upstream=spec) if spec is not None:
                self._deliver_heartbeat()
            case _:
                # No heartbeat is delivered for an upstream that is down.
                return

    def _handle_outcome(self, task_id: str, status: OutcomeStatus) -> None:
        """Records the end of a run, unless its outcome is unknown."""
        if status is OutcomeStatus.UNKNOWN:
            # The run ends once the upstream confirms that it has stopped.
            self._exchanges[task_id].broken = True
            self._client.stop(StopRun(task_id))
            return
        exchange = self._exchanges.pop(task_id)
        self._leases.record_end(exchange.task, _RUN_ENDS[status])

    def _handle_stop_result(self, task_id: str, *, stopped: bool) -> None:
        """Repeats an unconfirmed stop; ends a run with a broken exchange."""
        exchange = self._exchanges.get(task_id)
        if exchange is None:
            return
        if not stopped:
            self._client.stop(StopRun(task_id))
        elif exchange.broken:
            self._exchanges.pop(task_id)
            self._leases.record_end(exchange.task, RunEnd.CRASHED)

    def _deliver_heartbeat(self) -> None:
        """Delivers a heartbeat of the upstream, which is healthy."""
        self._sequence += 1
        spec = self._target.spec
        self._deliver_event(
            HeartbeatReceived(
                0.0,
                Heartbeat(
                    self.identity,
                    self._sequence,
                    self._service,
                    UpstreamState.READY,
                    Resources(int(spec.cores * MS_PER_S), int(spec.memory_mb)),
                    (spec.rack,) if spec.rack else (),
                    f'{self._target.host}:{self._target.port}',
                    self._clock_ms(),
                ),
            ),
        )

    def _clock_ms(self) -> int:
        return int(self._now() * MS_PER_S)
