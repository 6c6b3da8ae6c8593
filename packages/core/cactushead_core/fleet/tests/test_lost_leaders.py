"""Leaders that are lost for good, and entries that take their place."""

import pytest

from .simulation import FleetSimulation

# Silence after which a member may be replaced; a new leader grants the former
# one an election timeout to answer.
REPLACE_AFTER_S = 2.0
ELECTION_S = 0.6
# The request to join, and two changes of the membership.
CHANGE_S = 0.3
STEP_S = 0.05


def start_fleet(phase):
    simulation = FleetSimulation(agents=0, voters=4, diskless=1)
    simulation.run(5 + 0.13 * phase)
    simulation.configure('e0', 1)
    simulation.run(1 + 0.07 * phase)
    return simulation


def wait_until(simulation, condition, limit_s=8.0):
    """Returns how long it takes until a condition holds."""
    start_s = simulation.now_s
    while not condition():
        simulation.run(STEP_S)
        assert simulation.now_s < start_s + limit_s
    return simulation.now_s - start_s


def members(simulation):
    leaders = simulation.leaders()
    return simulation.entry(leaders[0]).voter.voters if leaders else ()


# Guards against a second loss before a lost leader is replaced. Its successor
# counted its silence from the election, so up to 1.8 s late.
@pytest.mark.parametrize('phase', range(12))
def test_silence_of_a_lost_leader_counts_from_its_last_message(phase):
    simulation = start_fleet(phase)
    (lost,) = simulation.leaders()
    simulation.kill(lost, silent=True)
    elected_s = wait_until(simulation, simulation.leaders)
    replaced_s = elected_s + wait_until(
        simulation,
        lambda: (
            lost not in members(simulation) and len(members(simulation)) == 3
        ),
    )
    limit_s = max(REPLACE_AFTER_S, elected_s + ELECTION_S)
    assert replaced_s <= limit_s + CHANGE_S


# Guards against the replacement of a leader that only restarts.
@pytest.mark.parametrize('phase', range(6))
@pytest.mark.parametrize('outage_s', [0.3, 1.0, 1.8])
def test_restarted_leader_stays_a_voter(outage_s, phase):
    simulation = start_fleet(phase)
    (lost,) = simulation.leaders()
    before = members(simulation)
    simulation.kill(lost, silent=True)
    simulation.run(outage_s)
    simulation.start(lost)
    simulation.run(6)
    assert members(simulation) == before
