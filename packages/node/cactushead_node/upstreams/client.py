"""HTTP client of an agent for its upstream."""

import json
import logging
from dataclasses import dataclass, field
from functools import partial

import trio
from cactushead_core.agents.model import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
)
from cactushead_core.effects import StartRun, StopRun
from cactushead_core.events import RunEnded, StopEnded, UpstreamChecked

from ..connections import make_connection_pool
from ..ports import Clock, DeliverEvent, UpstreamPort
from .exchange import (
    EXCHANGE_ERRORS,
    KEEPALIVE_S,
    AnswerTooLargeError,
    Exchange,
    HttpResponse,
)
from .target import UpstreamTarget

CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 2.0
DOWN_AFTER_FAILED_CHECKS = 2
STOP_TIMEOUT_S = 2.0
MAX_STOP_ATTEMPTS = 5
STOP_RETRY_DELAY_S = 0.2
STOP_GRACE_S = 1.0
NOT_FOUND = 404
MS_PER_S = 1000

_log = logging.getLogger('cactushead.upstream')


@dataclass(slots=True)
class _Run:
    """Run of a task at the upstream.

    Attributes:
        assignment: The task.
        exchange: Request that runs the task.
        started_s: Monotonic time at which the run was started.
        scope: Cancels the request.
        stop_requested: Whether a stop has been sent to the upstream.
        stopped: Whether the upstream has confirmed a stop.
    """

    assignment: Assignment
    exchange: Exchange
    started_s: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    stop_requested: bool = False
    stopped: bool = False


class UpstreamClient(UpstreamPort):
    """Starts and stops tasks at one upstream and checks its health."""

    def __init__(
        self,
        target: UpstreamTarget,
        deliver: DeliverEvent,
        now: Clock,
    ) -> None:
        """Creates a client without open connections.

        Args:
            target: Address and specification of the upstream.
            deliver: Receives the events.
            now: Monotonic clock, in seconds.
        """
        self._target = target
        self._deliver = deliver
        self._now = now
        # One connection is reserved for health checks and stops, so that
        # running tasks do not delay them.
        connections = max(target.spec.connections - 1, 1)
        self._task_pool = make_connection_pool(connections, KEEPALIVE_S)
        self._control_pool = make_connection_pool(1, KEEPALIVE_S)
        self._runs: dict[str, _Run] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Checks the upstream's health and runs tasks until cancelled.

        Args:
            task_status: Is signalled when tasks may be started.
        """
        async with (
            self._task_pool,
            self._control_pool,
            trio.open_nursery() as nursery,
        ):
            self._nursery = nursery
            task_status.started()
            await self._check_health()

    def start(self, effect: StartRun) -> None:
        """Starts a task; its outcome is delivered as `RunEnded`.

        Args:
            effect: Task, and time until which its request may be written.
        """
        assignment = effect.assignment
        exchange = Exchange(
            'POST',
            self._target.run_url,
            _make_headers(assignment),
            assignment.input_json,
            effect.start_by_s,
        )
        run = _Run(assignment, exchange, self._now())
        assert assignment.task_id not in self._runs, assignment.task_id
        self._runs[assignment.task_id] = run
        assert self._nursery is not None
        self._nursery.start_soon(self._run_task, run)

    def stop(self, effect: StopRun) -> None:
        """Stops a task; the result is delivered as `StopEnded`.

        Args:
            effect: Id of the task.
        """
        assert self._nursery is not None
        self._nursery.start_soon(self._stop_task, effect.task_id)

    async def _run_task(self, run: _Run) -> None:
        """Runs a task and delivers its outcome."""
        outcome = await self._await_outcome(run)
        self._runs.pop(run.assignment.task_id)
        self._deliver(partial(RunEnded, outcome=outcome))

    async def _await_outcome(self, run: _Run) -> TaskOutcome:
        """Sends the request of a run and returns the outcome of its task."""
        timeout_s = run.assignment.timeout_s
        try:
            with run.scope, trio.fail_after(timeout_s):
                response = await run.exchange.perform(
                    self._task_pool, self._now
                )
                return self._response_outcome(run, response)
        except trio.TooSlowError:
            return await self._timeout_outcome(run)
        except EXCHANGE_ERRORS as error:
            return self._error_outcome(run, error)
        # The scope was cancelled after a confirmed stop.
        return self._make_outcome(run, OutcomeStatus.CANCELLED, 'stopped')

    def _response_outcome(
        self, run: _Run, response: HttpResponse
    ) -> TaskOutcome:
        """Returns the outcome for a complete HTTP response."""
        if not response.succeeded:
            error = f'upstream answered {response.status}'
            if run.stop_requested:
                return self._make_outcome(run, OutcomeStatus.CANCELLED, error)
            return self._make_outcome(run, OutcomeStatus.FAILED, error)
        if not _is_json(response.body):
            return self._make_outcome(
                run, OutcomeStatus.FAILED, 'upstream answered no JSON'
            )
        return self._make_outcome(
            run, OutcomeStatus.SUCCEEDED, '', response.body
        )

    def _error_outcome(self, run: _Run, error: Exception) -> TaskOutcome:
        """Returns the outcome for a failed exchange.

        Explanation:
            If nothing was written, the task cannot have started. Otherwise
            the outcome is unknown, unless a stop was confirmed or the
            response was too large.
        """
        cause = f'{type(error).__name__}: {error}'
        if not run.exchange.written:
            return self._make_outcome(run, OutcomeStatus.REFUSED, cause)
        if run.stopped:
            return self._make_outcome(run, OutcomeStatus.CANCELLED, cause)
        if isinstance(error, AnswerTooLargeError):
            return self._make_outcome(run, OutcomeStatus.FAILED, cause)
        return self._make_outcome(run, OutcomeStatus.UNKNOWN, cause)

    async def _timeout_outcome(self, run: _Run) -> TaskOutcome:
        """Stops a task that timed out and returns its outcome.

        Explanation:
            The task is refused if nothing was written. The outcome is
            unknown if the upstream does not confirm the stop.
        """
        error = f'timed out after {run.assignment.timeout_s} s'
        if not run.exchange.written:
            return self._make_outcome(run, OutcomeStatus.REFUSED, error)
        if await self._request_stop(run.assignment.task_id) is None:
            return self._make_outcome(run, OutcomeStatus.UNKNOWN, error)
        return self._make_outcome(run, OutcomeStatus.FAILED, error)

    def _make_outcome(
        self,
        run: _Run,
        status: OutcomeStatus,
        error: str,
        result_json: bytes = b'',
    ) -> TaskOutcome:
        return TaskOutcome(
            run.assignment.job,
            run.assignment.index,
            run.assignment.start,
            status,
            result_json=result_json,
            error=error,
            run_s=self._now() - run.started_s,
        )

    async def _stop_task(self, task_id: str) -> None:
        """Stops a task and delivers the result.

        Explanation:
            After a confirmed stop, the request has `STOP_GRACE_S` to
            complete before it is cancelled.
        """
        stopped = await self._confirm_stop(task_id)
        self._deliver(partial(StopEnded, task_id=task_id, stopped=stopped))
        run = self._runs.get(task_id)
        if stopped and run is not None:
            run.stopped = True
            await trio.sleep(STOP_GRACE_S)
            run.scope.cancel()

    async def _confirm_stop(self, task_id: str) -> bool:
        """Returns whether the upstream confirms that the task has stopped.

        Explanation:
            The stop is sent up to `MAX_STOP_ATTEMPTS` times. A `404` does
            not confirm it while the request that runs the task is open:
            the stop may have overtaken that request.
        """
        for _ in range(MAX_STOP_ATTEMPTS):
            run = self._runs.get(task_id)
            if run is not None:
                run.stop_requested = True
            response = await self._request_stop(task_id)
            is_running = task_id in self._runs
            if response is not None and (response.succeeded or not is_running):
                return True
            await trio.sleep(STOP_RETRY_DELAY_S)
        return False

    async def _request_stop(self, task_id: str) -> HttpResponse | None:
        """Sends a stop; returns a 2xx or 404 response, None without one."""
        exchange = Exchange('DELETE', self._target.task_url(task_id))
        response = await self._send_control_request(exchange, STOP_TIMEOUT_S)
        if response is None:
            return None
        confirmed = response.succeeded or response.status == NOT_FOUND
        return response if confirmed else None

    async def _check_health(self) -> None:
        """Checks the health of the upstream until cancelled.

        Explanation:
            Each success is delivered. Failures are delivered from the
            `DOWN_AFTER_FAILED_CHECKS`-th consecutive one on.
        """
        failures = 0
        while True:
            exchange = Exchange('GET', self._target.health_url)
            response = await self._send_control_request(
                exchange, CHECK_TIMEOUT_S
            )
            if response is not None and response.succeeded:
                failures = 0
                self._deliver(
                    partial(UpstreamChecked, upstream=self._target.spec),
                )
            else:
                failures += 1
            if failures == DOWN_AFTER_FAILED_CHECKS:
                _log.warning('upstream: %s is down', self._target.spec.name)
            if failures >= DOWN_AFTER_FAILED_CHECKS:
                self._deliver(partial(UpstreamChecked, upstream=None))
            await trio.sleep(CHECK_INTERVAL_S)

    async def _send_control_request(
        self,
        exchange: Exchange,
        timeout_s: float,
    ) -> HttpResponse | None:
        """Sends a health check or stop; returns None if it fails."""
        with trio.move_on_after(timeout_s):
            try:
                return await exchange.perform(self._control_pool, self._now)
            except EXCHANGE_ERRORS as error:
                _log.debug('upstream: %s failed: %r', exchange.url, error)
        return None


def _make_headers(assignment: Assignment) -> dict[str, str]:
    return {
        'Content-Type': 'application/json',
        'Idempotency-Key': assignment.task_id,
        'X-Deadline-Ms': str(int(assignment.timeout_s * MS_PER_S)),
        'X-Cactushead-Service': assignment.job.service,
        'X-Cactushead-Job-Key': assignment.job.key,
        'X-Cactushead-Task-Index': str(assignment.index),
    }


def _is_json(body: bytes) -> bool:
    """Returns whether a body is JSON, without NaN and infinities."""
    try:
        json.loads(body, parse_constant=_reject_constant)
    except ValueError:
        return False
    return True


def _reject_constant(constant: str) -> None:
    raise ValueError(f'{constant} is no JSON')
