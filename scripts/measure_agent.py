"""Measures the CPU time of an agent's reducer and codec per task.

Explanation:
    Uses no sockets and no HTTP: the agent receives a frame with an
    assignment, the run ends, the agent sends the outcome in a frame and the
    leader acknowledges it. `open_tasks` outcomes stay unacknowledged, as those
    of a job that is not complete yet.

Examples:
    python scripts/measure_agent.py --open_tasks 1000
"""

import time

import fire
from cactushead_core import effects as fx
from cactushead_core import events as ev
from cactushead_core.agents import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    UpstreamSpec,
)
from cactushead_core.agents.messages import (
    Acknowledge,
    Assign,
    LeaderHint,
    LeaseGranted,
    ReportRequested,
)
from cactushead_core.agents.node import AgentNode
from cactushead_core.config import AgentConfig
from cactushead_core.events import Peer, PeerRole
from cactushead_core.jobs import JobId
from cactushead_core.messages import Message, decode_frame, encode_frame

NOW_S = 100.0
TERM = 1
LEASE_S = 2.0
US_PER_S = 1_000_000
TIMEOUT_S = 30.0
INPUT_JSON = b'{"row": 17, "crate": 4, "sled": "b2", "weight_kg": 11.4}'


class AgentBenchmark:
    """Simulates an agent that holds a lease, and its leader."""

    def __init__(self) -> None:
        """Creates the agent, announces its upstream and grants the lease."""
        self._leader = Peer('e0', PeerRole.ENTRY, 'e0-1')
        config = AgentConfig('a0', 'a0-1', 'cell', ('e0',))
        self._node = AgentNode(config, NOW_S)
        spec = UpstreamSpec('a0')
        self._reduce(ev.PeerConnected(NOW_S, self._leader))
        self._reduce(ev.UpstreamChecked(NOW_S, spec))
        self._receive(LeaderHint(TERM, 'e0'))
        self._receive(ReportRequested(TERM, 1, 'a0-1', 'e0'))
        self._receive(LeaseGranted(TERM, 'a0-1', NOW_S, LEASE_S))

    def run_task(self, index: int) -> str:
        """Runs one task until its outcome is sent; returns the task id."""
        job = JobId('sample', f'{index:08d}-3f6c-4c55-9d2e')
        task = Assignment(job, 0, 1, 'echo', 1, TIMEOUT_S, INPUT_JSON)
        effects = self._receive(
            Assign(TERM, 1, 'a0-1', NOW_S, (task,)),
        )
        starts = [each for each in effects if isinstance(each, fx.StartRun)]
        assert len(starts) == 1, f'{len(starts)} starts of {task.task_id}'
        outcome = TaskOutcome(
            job,
            0,
            1,
            OutcomeStatus.SUCCEEDED,
            INPUT_JSON,
        )
        self._reduce(ev.RunEnded(NOW_S, outcome))
        return task.task_id

    def acknowledge(self, task_id: str) -> None:
        """Acknowledges the outcome of a task."""
        self._receive(Acknowledge(TERM, (task_id,)))

    def _receive(self, message: Message) -> list[fx.Effect]:
        effects: list[fx.Effect] = []
        for each in decode_frame(encode_frame([message])):
            event = ev.MessageReceived(NOW_S, self._leader, each)
            effects += self._reduce(event)
        return effects

    def _reduce(self, event: ev.Event) -> list[fx.Effect]:
        effects = self._node.reduce(event)
        effects += self._node.reduce(ev.TurnEnded(NOW_S))
        sent = [each.message for each in effects if isinstance(each, fx.Send)]
        encode_frame(sent)
        return effects


def measure(open_tasks: int = 0, tasks: int = 2000) -> None:
    """Prints the CPU time per task.

    Args:
        open_tasks: Number of outcomes that stay unacknowledged.
        tasks: Number of tasks to measure.
    """
    benchmark = AgentBenchmark()
    for index in range(open_tasks):
        benchmark.run_task(tasks + index)
    started_s = time.process_time()
    for index in range(tasks):
        benchmark.acknowledge(benchmark.run_task(index))
    cpu_s = time.process_time() - started_s
    print(
        f'{open_tasks} open: {cpu_s / tasks * US_PER_S:.1f} us/task, '
        "with the encoding of the leader's frames",
    )


if __name__ == '__main__':
    fire.Fire(measure)
