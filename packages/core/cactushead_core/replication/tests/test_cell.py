"""Tests of a cell: formation, disk replacement, catch-up, restarts."""

import itertools

import pytest
from cactushead_core.events import Tick
from cactushead_core.replication import (
    Replica,
    ReplicaSettings,
    SnapshotInstalled,
    StoredLog,
)
from cactushead_core.replication.messages import Member
from cactushead_core.replication.tests.cell import Cell


def commit(cell, count=5):
    leader = cell.run_until_ready()
    cell.propose(leader.name, count)
    cell.run(5)
    return leader


def test_single_voter_leads_within_two_ticks():
    cell = Cell(1)
    cell.run(2)
    assert cell.leader().name == 'a'


def test_cell_waits_for_all_listed_voters():
    cell = Cell(3)
    cell.crash('c')
    cell.run(60)
    assert not cell.leaders
    cell.start('c')
    cell.run_until_ready()


@pytest.mark.parametrize('lost', ['a', 'b', 'c'])
@pytest.mark.parametrize('rounds', [1, 2, 3, 4, 5, 6])
def test_disk_lost_while_the_cell_forms(lost, rounds):
    cell = Cell(3)
    for name in itertools.islice(itertools.cycle(cell.names), rounds * 4):
        cell.tick(0.1)
        if cell.messages:
            cell.deliver(rounds % len(cell.messages))
        cell.sync(name)
    cell.lose_disk(lost)
    cell.start(lost)
    cell.heal()


def test_different_voter_lists_do_not_form_a_cell():
    cell = Cell(3)
    process = cell.processes['b']
    settings = ReplicaSettings('b', process.disk.incarnation, ('b', 'c', 'd'))
    process.replica = Replica(settings, StoredLog(), cell.now_s(process))
    cell.run(5)
    assert not cell.entries


def test_second_disk_lost_right_after_the_first_is_replaced():
    for lost, second in itertools.permutations('abc', 2):
        cell = Cell(3)
        commit(cell)
        cell.lose_disk(lost)
        commit(cell)
        cell.start(lost)
        repaired = Member(lost, cell.processes[lost].disk.incarnation, True)
        while repaired not in cell.members:
            cell.run(1)
        earlier_commands = cell.proposed_commands()
        cell.lose_disk(second)
        commit(cell, 1)
        assert (
            cell.proposed_commands()[: len(earlier_commands)]
            == earlier_commands
        )
        cell.start(second)
        cell.heal()


def test_new_disk_is_a_learner_first():
    cell = Cell(3)
    leader = commit(cell)
    lost = next(name for name in cell.names if name != leader.name)
    cell.lose_disk(lost)
    cell.run(20)
    cell.start(lost)
    seen = []
    for _ in range(200):
        cell.tick(0.01)
        cell.settle()
        seen.append(tuple(member.votes for member in cell.members))
    voter_counts = [
        len([v for v in votes if v]) for votes, _ in itertools.groupby(seen)
    ]
    assert voter_counts == [3, 2, 3]


def test_restarted_process_catches_up_after_hundreds_of_changes():
    cell = Cell(3, snapshot_entries=10_000)
    leader = commit(cell)
    late = next(name for name in cell.names if name != leader.name)
    cell.crash(late)
    for _ in range(40):
        commit(cell, 20)
    cell.start(late)
    cell.heal()
    assert cell.processes[late].applied > 800


def test_follower_catches_up_by_a_snapshot_in_chunks(monkeypatch):
    monkeypatch.setattr(
        'cactushead_core.replication.sender.MESSAGE_LIMIT_BYTES', 4
    )
    cell = Cell(3)
    leader = commit(cell)
    late = next(name for name in cell.names if name != leader.name)
    cell.crash(late)
    for _ in range(10):
        commit(cell, 20)
    cell.start(late)
    cell.processes[late].notices.clear()
    cell.heal()
    kinds = [type(n) for n in cell.processes[late].notices]
    assert SnapshotInstalled in kinds


def test_all_processes_restart_at_once():
    cell = Cell(3)
    commit(cell)
    earlier_commands = cell.proposed_commands()
    for name in cell.names:
        cell.crash(name)
    for name in cell.names:
        cell.start(name)
    commit(cell, 1)
    assert cell.proposed_commands()[:-1] == earlier_commands
    cell.heal()


def test_paused_leader_has_no_lease_when_it_resumes():
    cell = Cell(3)
    old = commit(cell)
    old.paused = True
    cell.run(40)
    new = cell.run_until_ready()
    assert new.name != old.name
    assert old.replica.leads
    assert not old.replica.has_leader_lease(cell.now_s(old))
    old.paused = False
    cell.handle_event(old, Tick(0))
    assert not old.replica.leads


def test_one_way_partition_of_a_follower_keeps_the_leader():
    cell = Cell(3)
    leader = commit(cell)
    other = next(name for name in cell.names if name != leader.name)
    cell.blocked_links.add((leader.name, other))
    cell.run(100)
    assert cell.leader() is leader
    assert len(cell.leaders) == 1


@pytest.mark.parametrize('size', [3, 5])
def test_leadership_transfer_elects_a_successor_at_once(size):
    cell = Cell(size)
    old = cell.run_until_ready()
    commit(cell)
    cell.transfer_leadership(old.name)
    assert not old.replica.leads
    cell.settle()
    cell.settle()
    new = cell.leader()
    assert new is not None
    assert new is not old
    cell.heal()


def test_leader_keeps_leadership_if_no_voter_is_up_to_date():
    cell = Cell(3)
    leader = cell.run_until_ready()
    cell.propose(leader.name)
    cell.transfer_leadership(leader.name)
    assert leader.replica.leads


def test_lost_leadership_transfer_ends_in_an_election():
    cell = Cell(3)
    old = cell.run_until_ready()
    commit(cell)
    term = old.replica.term
    cell.transfer_leadership(old.name)
    cell.messages.clear()
    assert cell.run_until_ready().replica.term > term
    cell.heal()
