"""Pattern: for some seconds more work comes than there is room for.

Three kinds of jobs, of eight short, four long and two usual tasks, arrive by
chance at seven entries; their declared times are off by up to 40 %. Served in
the order of arrival, or by the earliest deadline alone, all of them end late.
"""

import pytest
from cactushead_core.tasks import Resources

from .traffic import formed_world, refused, send_traffic, worth

CAPACITY = Resources(cpu_m=10_000, memory_mb=1000)
# Share of what the room could do that callers get at least.
TARGET = 0.8
BURST_S = 5.0
AFTER_S = 8.0


def play(load, seed=7):
    world = formed_world(agents=11, thin=4, capacity=CAPACITY)
    sent = send_traffic(world, BURST_S, load, seed)
    world.run(AFTER_S)
    return world, sent


@pytest.mark.parametrize('load', [0.7, 1.1, 1.3, 1.6])
def test_callers_get_most_of_what_the_room_can_do(load):
    world, sent = play(load)
    assert worth(world, sent) >= TARGET * min(1.0, 1.0 / load)
    assert not world.history.overloads


def test_nothing_is_refused_at_the_usual_load():
    world, sent = play(0.7)
    assert refused(world, sent) == 0
