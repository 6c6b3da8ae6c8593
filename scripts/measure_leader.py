"""Measures the CPU time of a leader per task, without sockets.

Examples:
    python scripts/measure_leader.py --agents 500 --job_tasks 20
    python scripts/measure_leader.py --profile --agents 500
"""

import cProfile
import gc
import pstats

import fire
from cactushead_node.runtime import VOTER_GC_THRESHOLDS
from leader_cell import NS_PER_S, Cell
from leader_costs import LeaderCosts, Workload

US_PER_S = 1_000_000
NS_PER_MS = 1_000_000
PROFILE_LINES = 45


def measure(
    agents: int = 500,
    job_tasks: int = 20,
    tasks: int = 20_000,
    turn_ms: float = 10.0,
    turn_tasks: int = 200,
    profile: bool = False,
    book: bool = False,
) -> None:
    """Runs one workload and prints its figures on one line.

    Args:
        agents: Number of agents, of 8 slots each.
        job_tasks: Tasks in a job.
        tasks: Number of tasks to measure.
        turn_ms: Virtual time of a loop turn.
        turn_tasks: Maximum number of tasks submitted within a turn.
        profile: Whether to print a CPU profile of the leader.
        book: Whether the requests are not repeatable.
    """
    workload = Workload(
        agents,
        job_tasks,
        tasks,
        turn_ms / 1000,
        turn_tasks,
        repeatable=not book,
    )
    gc.disable()
    gc.set_threshold(*VOTER_GC_THRESHOLDS)
    cell = Cell(workload)
    cell.prepare()
    cell.run_load(tasks // 5)
    gc.collect()
    cell.costs = LeaderCosts()
    if profile:
        cell.profiler = cProfile.Profile()
    before = cell.started
    cell.run_load(tasks)
    _report(cell, cell.started - before)
    if cell.profiler is not None:
        stats = pstats.Stats(cell.profiler)
        stats.sort_stats('tottime').print_stats(PROFILE_LINES)
    cell.profiler = None
    cell.drain()


def _report(cell: Cell, tasks: int) -> None:
    workload = cell.workload
    costs = cell.costs
    counts = costs.counts
    rate = tasks / (costs.cpu_ns / NS_PER_S)
    per_task = {
        name: round(counts[name] / tasks, 2)
        for name in (
            'frames in',
            'messages in',
            'bytes in',
            'frames out',
            'Send',
            'bytes out',
            'Record',
            'Measure',
        )
    }
    print(
        f'agents {workload.agents} job {workload.job_tasks} '
        f'tasks/turn {tasks / costs.turns:.0f}: {rate:.0f} starts/s, '
        f'{US_PER_S / rate:.1f} us/task '
        f'(gc {costs.gc_ns / 1000 / tasks:.1f}), slowest turn '
        f'{costs.slowest_turn_ns / NS_PER_MS:.0f} ms; per task {per_task}',
    )


if __name__ == '__main__':
    fire.Fire(measure)
