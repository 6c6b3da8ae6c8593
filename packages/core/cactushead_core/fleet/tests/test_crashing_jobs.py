"""The news of a job that crashes upstreams reaches all entries."""

import pytest
from cactushead_core.events import MessageReceived
from cactushead_core.tasks import CrashingJobFound, JobEnd

from .simulation import FleetSimulation

JOB = 'c' * 16
DISKLESS = ('e6', 'e7', 'e8', 'e9')


# Guards against entries that start a crashing job again, since the entry that
# was told of it doesn't pass that on: it didn't know the voters after a restart
# of all entries, or wasn't one of the first voters.
@pytest.mark.parametrize('change', ['none', 'restart', 'replacement'])
def test_crashing_job_is_known_at_all_entries(change):
    simulation = FleetSimulation(voters=6, diskless=len(DISKLESS), agents=0)
    simulation.run(5)
    names = [name for name in simulation.processes if name[0] == 'e']
    if change == 'restart':
        for name in names:
            simulation.kill(name, silent=True)
        simulation.run(0.5)
        for name in names:
            simulation.start(name)
        simulation.run(5)
    elif change == 'replacement':
        for name in names[:3]:
            simulation.kill(name, silent=True)
            simulation.run(5)
        names = names[3:]
    teller = simulation.processes['e6'].peer
    found = CrashingJobFound(JOB, 'q', ('u1', 'u2'))
    told = names[0]
    simulation.feed(told, lambda now_s: MessageReceived(now_s, teller, found))
    simulation.run(0.1)
    ends = {
        name: simulation.entry(name).dispatcher.state(JOB)
        for name in names
        if name != teller.name
    }
    assert ends == dict.fromkeys(ends, JobEnd.FAILED)
