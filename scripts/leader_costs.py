"""Processes, workload and costs of a simulated cell."""

from collections import Counter
from dataclasses import dataclass, field

from cactushead_core import effects as fx
from cactushead_core import events as ev
from cactushead_core.events import Peer
from cactushead_core.reducer import Node


@dataclass(slots=True)
class SimulatedProcess:
    """One process: its reducer and its input queues.

    Attributes:
        peer: Identity of the process for other processes.
        node: Its reducer.
        frames: Received frames that are not yet processed, with senders.
        events: Other events that are not yet processed.
        tick_due_s: Virtual time when its timer fires next.
    """

    peer: Peer
    node: Node
    frames: list[tuple[Peer, bytes]] = field(default_factory=list)
    events: list[ev.Event] = field(default_factory=list)
    tick_due_s: float = 0.0

    @property
    def name(self) -> str:
        """Name of the process."""
        return self.peer.name


@dataclass(frozen=True, slots=True)
class TurnResult:
    """Result of one loop turn of a process.

    Attributes:
        messages: Number of received messages.
        effects: Effects of its reducer.
        frames: Frames to send, with their receivers.
    """

    messages: int
    effects: list[fx.Effect]
    frames: list[tuple[str, bytes]]


@dataclass(slots=True)
class LeaderCosts:
    """CPU time and traffic of the leader.

    Attributes:
        cpu_ns: CPU time.
        gc_ns: Part of the CPU time spent in garbage collection.
        slowest_turn_ns: CPU time of the slowest turn.
        turns: Number of loop turns.
        counts: Frames, messages, bytes and effects, by name.
    """

    cpu_ns: int = 0
    gc_ns: int = 0
    slowest_turn_ns: int = 0
    turns: int = 0
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of a workload.

    Attributes:
        agents: Number of agents, of 8 slots each.
        job_tasks: Tasks in a job.
        tasks: Tasks to measure.
        turn_s: Virtual time of a loop turn.
        turn_tasks: Maximum number of tasks submitted within a turn.
        repeatable: Whether the requests are repeatable.
    """

    agents: int
    job_tasks: int
    tasks: int
    turn_s: float
    turn_tasks: int
    repeatable: bool
