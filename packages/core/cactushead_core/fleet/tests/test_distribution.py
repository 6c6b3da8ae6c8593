"""Requests for configurations between entries, in the order of the messages."""

import pytest
from cactushead_core.configuration import ConfigurationUpdate
from cactushead_core.configuration.sources import (
    LOG_WAIT_S,
    MAX_REQUEST_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    ConfigurationSources,
)
from cactushead_core.discovery import CONFIGURATION_REQUEST, NO_REQUEST, Ping
from cactushead_core.events import MessageReceived

from .simulation import FleetSimulation


def ask(sources, now_s, own=1, leader='', *, from_log=False):
    return sources.next_source(own, now_s, leader=leader, from_log=from_log)


def announce(**versions):
    sources = ConfigurationSources()
    for name, version in versions.items():
        sources.announced(name, version)
    return sources


# Guards against a second copy on its way while the first has not arrived.
def test_one_entry_is_asked_at_a_time():
    sources = announce(e0=2, e1=2)
    assert ask(sources, 0, leader='e1') == 'e1'
    sources.announced('e2', 5)
    assert ask(sources, 0.9 * REQUEST_TIMEOUT_S) == ''
    assert ask(sources, 0.95 * REQUEST_TIMEOUT_S, own=2) == 'e2'
    assert ask(sources, 0.96 * REQUEST_TIMEOUT_S, own=5) == ''


# Guards against waiting for a copy that was lost with its link.
def test_other_entry_is_asked_when_link_is_lost():
    sources = announce(e0=2, e1=2)
    assert ask(sources, 0, leader='e0') == 'e0'
    sources.lost('e0')
    assert ask(sources, 0.1, leader='e0') == 'e1'
    sources.lost('e1')
    assert ask(sources, 0.2) == ''


# Guards against an entry that never sends what it was asked for, and against
# ever more copies on a link that takes longer than the time-out for one.
def test_time_outs_change_the_entry_and_grow():
    sources = announce(e0=3, e1=2)
    asked = [
        (now_s, source)
        for now_s in range(40)
        if (source := ask(sources, float(now_s), leader='e0'))
    ]
    times_s = [0, 1, 3, 7, 15, 23, 31, 39]
    assert asked == list(zip(times_s, ['e0', 'e1'] * 4, strict=True))
    assert MAX_REQUEST_TIMEOUT_S == 8


# Guards against copies for voters, which the log brings the same bytes.
def test_voter_waits_for_the_log_first():
    sources = announce(e0=2)
    assert ask(sources, 0, from_log=True) == ''
    assert ask(sources, 0.9 * LOG_WAIT_S, from_log=True) == ''
    assert ask(sources, LOG_WAIT_S, from_log=True) == 'e0'


def start_fleet(**options):
    simulation = FleetSimulation(agents=0, **options)
    simulation.run(5)
    simulation.configure('e0', 4, 'q')
    simulation.run(2)
    return simulation


def copies(simulation, name):
    status = simulation.entry(name).configuration.status(simulation.now_s)
    return status.superfluous_copies


@pytest.fixture(name='simulation')
def fleet():
    return start_fleet(diskless=3)


# Guards against the same: all copies of a change count, not only late ones.
def test_entries_receive_one_copy_of_a_change(simulation):
    names = ('e0', 'e1', 'e2', 'e3', 'e4', 'e5')
    before = [copies(simulation, name) for name in names]
    for version in range(5, 10):
        simulation.configure('e3', version, 'q')
        simulation.run(1)
    assert [copies(simulation, name) for name in names] == before
    held = {simulation.entry(name).configuration.version for name in names}
    assert held == {9}


# Guards against a restarted entry to which all others send the configuration.
def test_restarted_entry_receives_one_copy(simulation):
    simulation.kill('e4')
    simulation.run(1)
    simulation.start('e4')
    simulation.run(2)
    assert simulation.entry('e4').configuration.version == 4
    assert copies(simulation, 'e4') == 0


def sent_to_e5(simulation, receiver, ping):
    """Returns what an entry sends at once in answer to a ping of e5."""
    simulation.run(1)
    node = simulation.entry(receiver)
    sender = simulation.processes['e5'].peer
    effects = node.reduce(MessageReceived(simulation.now_s, sender, ping))
    return [
        effect.message.version
        for effect in effects
        if isinstance(getattr(effect, 'message', None), ConfigurationUpdate)
    ]


# Guards against the answers of all entries to the pings of one that is behind;
# entries of earlier software name their old version and wait for the answer.
def test_only_requests_and_the_leader_answer_older_versions(simulation):
    (leader,) = simulation.leaders()
    other = next(name for name in ('e0', 'e1') if name != leader)
    old = Ping(configuration_version=3)
    request = Ping(configuration_version=CONFIGURATION_REQUEST)
    waiting = Ping(configuration_version=NO_REQUEST)
    assert sent_to_e5(simulation, leader, old) == [4]
    assert sent_to_e5(simulation, other, old) == []
    assert sent_to_e5(simulation, other, request) == [4]
    assert sent_to_e5(simulation, leader, waiting) == []
    assert sent_to_e5(simulation, other, waiting) == []
