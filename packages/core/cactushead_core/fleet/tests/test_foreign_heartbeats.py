"""Heartbeats that don't come from the agent's upstream."""

from dataclasses import replace

import pytest
from cactushead_core.leasing import (
    HeartbeatReceived,
    UpstreamDeregistered,
    UpstreamIdentity,
)
from cactushead_core.tasks import JobEnd

from .simulation import SERVICE, FleetSimulation
from .test_path import assert_invariants, job_ends
from .upstream import FakeUpstream

LATER_MS = 1_000_000
NOWHERE = 'elsewhere:1'


def other_id(known):
    """Returns the heartbeat of another upstream at which nothing listens."""
    identity = UpstreamIdentity('u-other', LATER_MS)
    return replace(known, identity=identity, address=NOWHERE, sequence=1)


def other_id_at_known_address(known):
    return replace(other_id(known), address=known.address)


def other_address(known):
    sequence = known.sequence + LATER_MS
    return replace(known, address=NOWHERE, sequence=sequence)


def other_service(known):
    sequence = known.sequence + LATER_MS
    return replace(known, service='elsewhere', sequence=sequence)


def later_incarnation(known):
    identity = UpstreamIdentity(known.identity.upstream, LATER_MS)
    return replace(known, identity=identity, address=NOWHERE, sequence=1)


def later_incarnation_at_known_address(known):
    return replace(later_incarnation(known), address=known.address)


FOREIGN = (
    other_id,
    other_id_at_known_address,
    other_address,
    other_service,
    later_incarnation,
    later_incarnation_at_known_address,
)


def start_world(**options):
    world = FleetSimulation(**options)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    return world


def send_foreign(world, agent, change):
    known = world.processes[agent].upstream.heartbeat(world.now_s, SERVICE)
    foreign = change(replace(known.heartbeat, service=SERVICE))
    world.feed(agent, lambda now_s: HeartbeatReceived(now_s, foreign))


def assert_follows_upstream(world):
    view = world.entry('e0').dispatcher.views['a0']
    assert view.usable
    assert view.service == SERVICE
    world.processes['a0'].upstream.draining = True
    world.run(2)
    assert not view.ready


# Guards against an agent that takes the sender of any heartbeat for its new
# upstream, and reports the runs at the real one as ended while they go on.
@pytest.mark.parametrize('change', FOREIGN)
@pytest.mark.parametrize('repeated', [1, 4])
def test_foreign_heartbeat_ends_no_run(change, repeated):
    world = start_world(run_s=2.0)
    numbers = [world.submit(f'e{k}', count=6) for k in range(3)]
    world.run(0.5)
    for _ in range(repeated):
        send_foreign(world, 'a0', change)
        world.run(0.2)
    world.run(4)
    numbers.extend(world.submit(f'e{k}', count=8) for k in range(3))
    world.run(8)
    assert job_ends(world, numbers) == [JobEnd.COMPLETED] * 6
    assert len(world.history.starts) == 42
    assert_follows_upstream(world)
    assert_invariants(world)


# Guards against a late call of an earlier incarnation that ends the runs of the
# one that has the same id now.
def test_late_deregistration_ends_no_run():
    world = start_world(run_s=2.0)
    number = world.submit('e0', count=12)
    world.run(0.5)
    world.feed('a0', lambda now_s: UpstreamDeregistered(now_s, 'u0'))
    world.run(4)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
    assert len(world.history.starts) == 12
    assert world.entry('e0').dispatcher.views['a0'].usable
    assert_invariants(world)


# Guards against an agent that, after its restart, reports that nothing runs
# because the sender of a foreign heartbeat is gone.
@pytest.mark.parametrize('change', FOREIGN)
def test_foreign_heartbeat_before_the_first_real_one(change):
    world = start_world(run_s=2.0)
    numbers = [world.submit(f'e{k}', count=6) for k in range(3)]
    world.run(0.3)
    world.kill('a0')
    world.run(0.05)
    world.start('a0')
    send_foreign(world, 'a0', change)
    world.run(6)
    numbers.extend(world.submit(f'e{k}', count=8) for k in range(3))
    world.run(8)
    assert job_ends(world, numbers) == [JobEnd.COMPLETED] * 6
    assert_follows_upstream(world)
    assert_invariants(world)


# Guards against an agent that waits for an upstream which has been replaced.
@pytest.mark.parametrize('same_address', [False, True])
@pytest.mark.parametrize('announced', [False, True])
def test_replaced_upstream_is_followed(same_address, announced):
    world = start_world(agents=1, run_s=1.0)
    first = world.submit('e0', count=4)
    world.run(0.3)
    process = world.processes['a0']
    old = process.upstream
    if announced:
        old.draining = True
        world.run(2)
        world.feed('a0', lambda now_s: UpstreamDeregistered(now_s, 'u0'))
    old.crash()
    process.upstream = FakeUpstream('u9', old.capacity, 1.0, world.history)
    process.upstream.started_ms = 2
    if same_address:
        process.upstream.address = old.address
    world.run(3)
    second = world.submit('e0', count=4)
    world.run(2)
    assert job_ends(world, [first, second]) == [JobEnd.COMPLETED] * 2
    assert_invariants(world)


# Guards against an agent that keeps to an upstream which answers nothing while
# its successor sends heartbeats.
def test_successor_of_a_silent_upstream_is_followed():
    world = start_world(agents=1, run_s=1.0)
    process = world.processes['a0']
    old = process.upstream
    world.call_delay = lambda _: 60.0
    world.run(0.5)
    old.crash()
    process.upstream = FakeUpstream('u9', old.capacity, 1.0, world.history)
    process.upstream.started_ms = 2
    process.upstream.silent_addresses = {old.address}
    world.call_delay = lambda _: None
    world.run(3)
    number = world.submit('e0', count=4)
    world.run(2)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
