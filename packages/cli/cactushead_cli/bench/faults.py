"""Faults that can be injected into a load run."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

import trio

from ..client import Transport, UsageError
from .cluster import Cluster, find_busiest_agent, find_leader
from .fault_effects import FaultEvent
from .shapes import LoadSpec

RESTART_DELAY_S = 4.0
FREEZE_DURATION_S = 6.0
STRAGGLER_DURATION_S = 8.0
STRAGGLER_FROZEN_S = 0.4
STRAGGLER_RUNNING_S = 0.1
NO_CANCELLATION_S = -1.0


@dataclass(frozen=True, slots=True)
class FaultContext:
    """Time and target of a fault, and the steps done so far.

    Attributes:
        at_s: Time of the fault, in seconds from the start of the run.
        start_s: Start of the run on the machine's monotonic clock.
        cluster: The cluster's processes, None if no cluster file was given.
        transport: Sends requests to the processes.
        events: Steps done so far; `record_event` appends to it.
    """

    at_s: float
    start_s: float
    cluster: Cluster | None
    transport: Transport
    events: list[FaultEvent]

    @property
    def processes(self) -> Cluster:
        """The cluster's processes.

        Raises:
            UsageError: If no cluster file was given.
        """
        if self.cluster is None:
            raise UsageError('this fault needs --cluster FILE')
        return self.cluster

    def record_event(self, step: str, process: str = '') -> None:
        """Records a step of the fault with its time, for the report.

        Args:
            step: Description of the step.
            process: Name of the affected process, empty for none.
        """
        elapsed_s = time.monotonic() - self.start_s
        text = f'{step} {process}' if process else step
        self.events.append(FaultEvent(elapsed_s, time.time(), text, process))

    async def sleep_until(self, at_s: float) -> None:
        """Waits until a time in seconds from the start of the run."""
        await trio.sleep(max(self.start_s + at_s - time.monotonic(), 0))


class Fault(ABC):
    """A fault to inject during a load run."""

    needs_cluster = True

    def change_load(self, spec: LoadSpec, at_s: float) -> LoadSpec:
        """Returns the offered load of a run with this fault.

        Args:
            spec: The offered load of a run without the fault.
            at_s: Time of the fault, in seconds from the start of the run.
        """
        return self._change_load(spec, at_s)

    def cancel_at_s(self, at_s: float) -> float:
        """Returns the time of the mass cancellation, negative for none."""
        return self._cancel_at_s(at_s)

    async def inject(self, context: FaultContext) -> None:
        """Waits until the time of the fault, then injects it.

        Args:
            context: Time and target of the fault.
        """
        await context.sleep_until(context.at_s)
        await self._inject(context)

    def _change_load(self, spec: LoadSpec, at_s: float) -> LoadSpec:
        return spec

    def _cancel_at_s(self, at_s: float) -> float:
        return NO_CANCELLATION_S

    @abstractmethod
    async def _inject(self, context: FaultContext) -> None:
        """Injects the fault."""


class KillLeader(Fault):
    """Kills the leader and restarts it after a delay."""

    async def _inject(self, context: FaultContext) -> None:
        leader = await find_leader(context.processes, context.transport)
        context.record_event('killed leader', leader.name)
        context.processes.kill(leader)
        await trio.sleep(RESTART_DELAY_S)
        context.processes.restart(leader)
        context.record_event('restarted', leader.name)


class KillAgent(Fault):
    """Kills the busiest agent and restarts it after a delay."""

    async def _inject(self, context: FaultContext) -> None:
        agent = await find_busiest_agent(context.processes, context.transport)
        context.record_event('killed agent', agent.name)
        context.processes.kill(agent)
        await trio.sleep(RESTART_DELAY_S)
        context.processes.restart(agent)
        context.record_event('restarted', agent.name)


class FreezeAgent(Fault):
    """Suspends the busiest agent for longer than its lease."""

    async def _inject(self, context: FaultContext) -> None:
        agent = await find_busiest_agent(context.processes, context.transport)
        context.processes.freeze(agent)
        context.record_event('froze agent', agent.name)
        try:
            await trio.sleep(FREEZE_DURATION_S)
        finally:
            context.processes.thaw(agent)
            context.record_event('thawed agent', agent.name)


class Stragglers(Fault):
    """Slows one upstream down by suspending it for most of the time."""

    async def _inject(self, context: FaultContext) -> None:
        upstream = context.processes.of_role('upstream')[0]
        context.record_event('slowed upstream', upstream.name)
        end_s = trio.current_time() + STRAGGLER_DURATION_S
        while trio.current_time() < end_s:
            context.processes.freeze(upstream)
            try:
                await trio.sleep(STRAGGLER_FROZEN_S)
            finally:
                context.processes.thaw(upstream)
            await trio.sleep(STRAGGLER_RUNNING_S)
        context.record_event('restored speed of upstream', upstream.name)


class LeaveUpstream(Fault):
    """Requests a graceful stop of the busiest agent."""

    async def _inject(self, context: FaultContext) -> None:
        agent = await find_busiest_agent(context.processes, context.transport)
        context.record_event('terminated agent', agent.name)
        context.processes.terminate(agent)


class Burst(Fault):
    """Adds a burst of jobs with five times as many tasks as slots."""

    needs_cluster = False

    def _change_load(self, spec: LoadSpec, at_s: float) -> LoadSpec:
        return replace(spec, wave_at_s=at_s)

    async def _inject(self, context: FaultContext) -> None:
        context.record_event('burst of jobs')


class CancelWave(Fault):
    """Cancels half of the open jobs at once."""

    needs_cluster = False

    def _cancel_at_s(self, at_s: float) -> float:
        return at_s

    async def _inject(self, context: FaultContext) -> None:
        context.record_event('wave of cancellations')


FAULTS: dict[str, Fault] = {
    'kill_leader': KillLeader(),
    'kill_agent': KillAgent(),
    'freeze_agent': FreezeAgent(),
    'leave_upstream': LeaveUpstream(),
    'stragglers': Stragglers(),
    'burst': Burst(),
    'cancel_wave': CancelWave(),
}


def find_fault(name: str) -> Fault:
    """Returns the fault with a name.

    Args:
        name: Name in the table `FAULTS`.

    Raises:
        UsageError: If no fault has this name.
    """
    if name not in FAULTS:
        listed = ', '.join(FAULTS)
        raise UsageError(f'expected a fault of {listed}, got {name!r}')
    return FAULTS[name]
