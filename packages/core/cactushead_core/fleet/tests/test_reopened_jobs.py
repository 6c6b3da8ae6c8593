"""Jobs that an entry opens again after their caller has left."""

from cactushead_core.effects import Send
from cactushead_core.events import Peer, PeerConnected, PeerRole, TurnEnded
from cactushead_core.leasing import RenewalFailed
from cactushead_core.tasks import RunsEnded

from .simulation import FleetSimulation
from .test_path import assert_invariants

JOB = 'd' * 16
RESEND_S = 1.3


def make_world(run_s):
    world = FleetSimulation(agents=2, run_s=run_s)
    world.processes['a1'].upstream.draining = True
    world.run(5)
    world.configure('e0', 1)
    world.run(2)
    return world


# Guards against a result of the first instance of a job that counts for the
# second one, whose task then runs at two agents.
def test_late_result_of_the_first_instance_is_ignored():
    world = make_world(run_s=0.6)
    world.blocked_links.add(('a0', 'e0'))
    # Fills the agent, so that it returns the task of the job.
    world.submit('e1', count=8)
    world.run(0.05)
    request = world.submit('e0', job=JOB)
    world.run(0.3)
    world.disconnect_caller('e0', request)
    world.run(RESEND_S)
    world.processes['a0'].upstream.run_s = 3.0
    world.submit('e0', job=JOB)
    world.processes['a1'].upstream.draining = False
    world.run(0.7)
    world.heal()
    world.run(3)
    assert_invariants(world)
    assert [task.job for _, task, _ in world.history.starts].count(JOB) == 1


# Guards against a result for an entry that reaches its next incarnation, which
# may have opened the same job and counts its runs from 1 too.
def test_results_for_an_earlier_incarnation_of_an_entry_are_not_sent():
    world = make_world(run_s=2.0)
    world.submit('e0', job=JOB)
    world.run(0.3)
    agent = world.processes['a0'].node
    later = Peer('e0', PeerRole.ENTRY, 'e0/later')
    effects = agent.reduce(PeerConnected(world.now_s, later))
    # A restart of the upstream ends the run.
    identity = world.processes['a0'].upstream.identity
    refused = RenewalFailed(world.now_s, identity, True, False, 'refused')
    effects += agent.reduce(refused)
    effects += agent.reduce(TurnEnded(world.now_s))
    assert not len(agent.manager.runs)
    messages = [one.message for one in effects if isinstance(one, Send)]
    assert not [one for one in messages if isinstance(one, RunsEnded)]
