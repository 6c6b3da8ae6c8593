"""Faults that go with a load run, in a table."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

import trio

from ..client import Transport, UsageError
from .cluster import Cluster, find_busy_agent, find_leader
from .fault_model import FaultNote
from .shapes import LoadSpec

RESTART_AFTER_S = 4.0
FREEZE_S = 6.0
STRAGGLE_S = 8.0
STRAGGLE_PAUSE_S = 0.4
STRAGGLE_RUN_S = 0.1
NO_WAVE_S = -1.0


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """When a fault comes, and on what.

    Attributes:
        at_s: When, from the start of the run.
        start_s: The machine's monotonic clock at the start of the run.
        cluster: The processes, None if no cluster file was given.
        transport: Carries requests to the processes.
        notes: What was done.
    """

    at_s: float
    start_s: float
    cluster: Cluster | None
    transport: Transport
    notes: list[FaultNote]

    @property
    def processes(self) -> Cluster:
        """The cluster.

        Raises:
            UsageError: If no cluster file was given.
        """
        if self.cluster is None:
            raise UsageError('this fault needs --cluster FILE')
        return self.cluster

    def note(self, step: str, process: str = '') -> None:
        """Adds a step to the report.

        Args:
            step: What is done.
            process: Name of the process that it is done to.
        """
        passed_s = time.monotonic() - self.start_s
        text = f'{step} {process}' if process else step
        self.notes.append(FaultNote(passed_s, time.time(), text, process))

    async def sleep_until(self, at_s: float) -> None:
        """Waits for a time of the run."""
        await trio.sleep(max(self.start_s + at_s - time.monotonic(), 0))


class Fault(ABC):
    """Something that goes wrong during a run."""

    needs_cluster = True

    def change_load(self, spec: LoadSpec, at_s: float) -> LoadSpec:
        """Returns the load of a run with this fault.

        Args:
            spec: The load of the run without it.
            at_s: When the fault comes.
        """
        return self._change_load(spec, at_s)

    def cancel_at_s(self, at_s: float) -> float:
        """Returns when a wave of cancellations comes, negative for none."""
        return self._cancel_at_s(at_s)

    async def perform(self, plan: FaultPlan) -> None:
        """Waits for the fault's time and does it.

        Args:
            plan: When, and on what.
        """
        await plan.sleep_until(plan.at_s)
        await self._perform(plan)

    def _change_load(self, spec: LoadSpec, at_s: float) -> LoadSpec:
        return spec

    def _cancel_at_s(self, at_s: float) -> float:
        return NO_WAVE_S

    @abstractmethod
    async def _perform(self, plan: FaultPlan) -> None:
        """Does it."""


class KillLeader(Fault):
    """Kills the leading entry and starts it again later."""

    async def _perform(self, plan: FaultPlan) -> None:
        leader = await find_leader(plan.processes, plan.transport)
        plan.note('killed leader', leader.name)
        plan.processes.kill(leader)
        await trio.sleep(RESTART_AFTER_S)
        plan.processes.restart(leader)
        plan.note('restarted', leader.name)


class KillAgent(Fault):
    """Kills one agent and starts it again later."""

    async def _perform(self, plan: FaultPlan) -> None:
        agent = await find_busy_agent(plan.processes, plan.transport)
        plan.note('killed agent', agent.name)
        plan.processes.kill(agent)
        await trio.sleep(RESTART_AFTER_S)
        plan.processes.restart(agent)
        plan.note('restarted', agent.name)


class FreezeAgent(Fault):
    """Freezes one agent for longer than its lease."""

    async def _perform(self, plan: FaultPlan) -> None:
        agent = await find_busy_agent(plan.processes, plan.transport)
        plan.processes.freeze(agent)
        plan.note('froze agent', agent.name)
        try:
            await trio.sleep(FREEZE_S)
        finally:
            plan.processes.thaw(agent)
            plan.note('thawed agent', agent.name)


class Stragglers(Fault):
    """Slows one upstream by freezing it for most of the time."""

    async def _perform(self, plan: FaultPlan) -> None:
        upstream = plan.processes.of_role('upstream')[0]
        plan.note('slowed upstream', upstream.name)
        end_s = trio.current_time() + STRAGGLE_S
        while trio.current_time() < end_s:
            plan.processes.freeze(upstream)
            try:
                await trio.sleep(STRAGGLE_PAUSE_S)
            finally:
                plan.processes.thaw(upstream)
            await trio.sleep(STRAGGLE_RUN_S)
        plan.note('restored speed of upstream', upstream.name)


class LeaveUpstream(Fault):
    """Asks one agent to leave gracefully."""

    async def _perform(self, plan: FaultPlan) -> None:
        agent = await find_busy_agent(plan.processes, plan.transport)
        plan.note('terminated agent', agent.name)
        plan.processes.terminate(agent)


class Burst(Fault):
    """Jobs of five times the number of slots arrive at once."""

    needs_cluster = False

    def _change_load(self, spec: LoadSpec, at_s: float) -> LoadSpec:
        return replace(spec, wave_at_s=at_s)

    async def _perform(self, plan: FaultPlan) -> None:
        plan.note('burst of jobs')


class CancelWave(Fault):
    """Half of the open jobs are cancelled at once."""

    needs_cluster = False

    def _cancel_at_s(self, at_s: float) -> float:
        return at_s

    async def _perform(self, plan: FaultPlan) -> None:
        plan.note('wave of cancellations')


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
    """Returns a fault by its name.

    Args:
        name: Its name in the table.

    Raises:
        UsageError: If there is none.
    """
    if name not in FAULTS:
        listed = ', '.join(FAULTS)
        raise UsageError(f'expected a fault of {listed}, got {name!r}')
    return FAULTS[name]
