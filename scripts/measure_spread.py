"""Measures an idle leader and the spread of one document, without sockets.

Explanation:
    Uses the reducers as `measure_leader.py` does. The idle leader answers
    heartbeats of its agents and of the followers; then one new version of a
    document is accepted and confirmed by each process.

Examples:
    python scripts/measure_spread.py --agents 500
"""

import gc

import fire
from leader_cell import NS_PER_S, SERVICE, Cell, LeaderCosts, Profile

US_PER_NS = 1e-3
IDLE_S = 10.0
SPREAD_S = 2.0
TURN_S = 0.01


def measure(agents: int = 500) -> None:
    """Prints the cost of idling a second, and of one document.

    Args:
        agents: Agents of 8 slots.
    """
    gc.disable()
    cell = Cell(Profile(agents, 1, 0, TURN_S, 1, repeatable=True))
    cell.settle()
    idle = _run(cell, IDLE_S)
    print(
        f'agents {agents} idle: {idle.cpu_ns / NS_PER_S / IDLE_S:.2%} of a '
        f'core, in {idle.counts["bytes in"] / IDLE_S:.0f} B/s, '
        f'out {idle.counts["bytes out"] / IDLE_S:.0f} B/s',
    )
    cell.submit_document(version=2)
    spread = _run(cell, SPREAD_S)
    share = SPREAD_S / IDLE_S
    processes = agents + 2
    cpu_ns = spread.cpu_ns - idle.cpu_ns * share
    figures = {
        name: (spread.counts[name] - idle.counts[name] * share) / processes
        for name in ('messages in', 'bytes in', 'Send', 'bytes out')
    }
    print(
        f'document of {SERVICE}: {cpu_ns * US_PER_NS / processes:.1f} us a '
        f'process, slowest turn {spread.slowest_turn_ns / NS_PER_S:.3f} s, ',
        {name: round(figure, 2) for name, figure in figures.items()},
    )


def _run(cell: Cell, duration_s: float) -> LeaderCosts:
    cell.costs = LeaderCosts()
    for _ in range(int(duration_s / TURN_S)):
        cell.step()
    return cell.costs


if __name__ == '__main__':
    fire.Fire(measure)
