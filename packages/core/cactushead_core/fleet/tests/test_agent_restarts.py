"""Messages for an incarnation of an agent that reach the next one."""

from cactushead_core.events import MessageReceived
from cactushead_core.tasks import OfferTasks, Resources, TaskRun

from .simulation import FleetSimulation

JOB = 'd' * 16


def make_offer(session):
    needs = Resources(cpu_m=1000, memory_mb=1)
    return OfferTasks(session, 1, JOB, 0, '', needs, (TaskRun(0, 1),), 1, 0.3)


# Guards against a task that runs at a restarted agent, although the entry takes
# it for lost because it had offered it before it knew of the restart.
def test_offer_to_an_earlier_incarnation_is_discarded():
    world = FleetSimulation(agents=1)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    entries = [name for name in world.processes if name.startswith('e')]
    sessions = {
        world.entry(name).dispatcher.views['a0'].session for name in entries
    }
    world.kill('a0')
    world.start('a0')
    world.run(4)
    for name in entries:
        assert world.entry(name).dispatcher.views['a0'].usable
        peer = world.processes[name].peer
        for session in sessions:
            world.feed(
                'a0',
                lambda now_s, peer=peer, session=session: MessageReceived(
                    now_s, peer, make_offer(session)
                ),
            )
    world.run(0.2)
    assert world.history.starts == []
