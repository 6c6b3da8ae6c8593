"""Measures an idle leader and the distribution of one document.

Explanation:
    Runs the reducers without sockets, as `measure_leader.py` does. The idle
    leader answers heartbeats of its agents and of the followers; then one new
    version of a document is accepted and confirmed by each process.

Examples:
    python scripts/measure_spread.py --agents 500
"""

import gc

import fire
from leader_cell import NS_PER_S, SERVICE, Cell
from leader_costs import LeaderCosts, Workload

US_PER_NS = 1e-3
IDLE_S = 10.0
DISTRIBUTION_S = 2.0
TURN_S = 0.01


def measure(agents: int = 500) -> None:
    """Prints the cost of an idle second and of one document.

    Args:
        agents: Number of agents, of 8 slots each.
    """
    gc.disable()
    cell = Cell(Workload(agents, 1, 0, TURN_S, 1, repeatable=True))
    cell.prepare()
    idle = _run(cell, IDLE_S)
    print(
        f'agents {agents} idle: {idle.cpu_ns / NS_PER_S / IDLE_S:.2%} of a '
        f'core, in {idle.counts["bytes in"] / IDLE_S:.0f} B/s, '
        f'out {idle.counts["bytes out"] / IDLE_S:.0f} B/s',
    )
    cell.submit_document(version=2)
    update = _run(cell, DISTRIBUTION_S)
    idle_share = DISTRIBUTION_S / IDLE_S
    processes = agents + 2
    cpu_ns = update.cpu_ns - idle.cpu_ns * idle_share
    figures = {
        name: (update.counts[name] - idle.counts[name] * idle_share) / processes
        for name in ('messages in', 'bytes in', 'Send', 'bytes out')
    }
    print(
        f'document of {SERVICE}: {cpu_ns * US_PER_NS / processes:.1f} us a '
        f'process, slowest turn {update.slowest_turn_ns / NS_PER_S:.3f} s, ',
        {name: round(figure, 2) for name, figure in figures.items()},
    )


def _run(cell: Cell, duration_s: float) -> LeaderCosts:
    cell.costs = LeaderCosts()
    for _ in range(int(duration_s / TURN_S)):
        cell.step()
    return cell.costs


if __name__ == '__main__':
    fire.Fire(measure)
