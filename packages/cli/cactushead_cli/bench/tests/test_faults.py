"""Tests of fault injection with a fake cluster."""

import json
import time

import pytest
import trio
from cactushead_cli.bench import faults
from cactushead_cli.bench.cluster import Cluster, find_leader, read_cluster
from cactushead_cli.bench.faults import FAULTS, FaultContext, find_fault
from cactushead_cli.bench.shapes import LoadSpec
from cactushead_cli.client import (
    EntryUnreachableError,
    HttpResponse,
    UsageError,
)
from cactushead_cli.client.tests.fakes import ScriptedTransport

LISTED = [
    {'role': 'entry', 'name': 'e1', 'pid': 11, 'url': 'http://a'},
    {'role': 'entry', 'name': 'e2', 'pid': 12, 'url': 'http://b'},
    {'role': 'agent', 'name': 'u0', 'pid': 20, 'url': ''},
    {'role': 'agent', 'name': 'u1', 'pid': 21, 'url': ''},
    {'role': 'upstream', 'name': 'u1', 'pid': 31, 'url': 'http://c'},
]
FOLLOWER = HttpResponse(200, b'{"state": {"leads": 0}}')
LEADER = HttpResponse(200, b'{"state": {"leads": 1}}')


class RecordingCluster(Cluster):
    def __init__(self, processes):
        super().__init__(processes)
        self.done = []

    def kill(self, process):
        self.done.append(('kill', process.pid))

    def terminate(self, process):
        self.done.append(('terminate', process.pid))

    def freeze(self, process):
        self.done.append(('freeze', process.pid))

    def thaw(self, process):
        self.done.append(('thaw', process.pid))

    def restart(self, process):
        self.done.append(('restart', process.command[0]))


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    for name in (
        'RESTART_DELAY_S',
        'FREEZE_DURATION_S',
        'STRAGGLER_DURATION_S',
    ):
        monkeypatch.setattr(faults, name, 0.01)
    for name in ('STRAGGLER_FROZEN_S', 'STRAGGLER_RUNNING_S'):
        monkeypatch.setattr(faults, name, 0.02)
    path = tmp_path / 'cluster.json'
    listed = [{**found, 'command': ['run', found['name']]} for found in LISTED]
    path.write_text(json.dumps(listed))
    read = read_cluster(str(path))
    roles = ('entry', 'agent', 'upstream')
    processes = [found for role in roles for found in read.of_role(role)]
    return RecordingCluster(tuple(processes))


@pytest.mark.parametrize(
    ('name', 'done'),
    [
        ('kill_leader', [('kill', 12), ('restart', 'run')]),
        ('kill_agent', [('kill', 21), ('restart', 'run')]),
        ('freeze_agent', [('freeze', 21), ('thaw', 21)]),
        ('leave_upstream', [('terminate', 21)]),
        ('stragglers', [('freeze', 31), ('thaw', 31)]),
        ('burst', []),
        ('cancel_wave', []),
    ],
)
def test_fault_acts_on_the_right_process(cluster, name, done):
    transport = ScriptedTransport(
        a=[FOLLOWER],
        b=[LEADER],
        c=[HttpResponse(200, b'{"running": 3}')],
    )
    events = []
    context = FaultContext(0.0, time.monotonic(), cluster, transport, events)
    trio.run(FAULTS[name].inject, context)
    assert cluster.done == done
    assert events


def test_leader_is_found_when_another_entry_is_down(cluster):
    unreachable = EntryUnreachableError('http://a', 'refused')
    transport = ScriptedTransport(a=[unreachable], b=[LEADER])
    assert trio.run(find_leader, cluster, transport).name == 'e2'


def test_missing_leader_is_a_usage_error(cluster):
    transport = ScriptedTransport(a=[FOLLOWER], b=[FOLLOWER])
    with pytest.raises(UsageError):
        trio.run(find_leader, cluster, transport)


def test_burst_and_cancellation_set_their_times():
    spec = LoadSpec('single', 0.5, 5.0, 1)
    assert FAULTS['burst'].change_load(spec, 2.0).wave_at_s == 2.0
    assert FAULTS['cancel_wave'].cancel_at_s(2.0) == 2.0
    assert FAULTS['kill_agent'].cancel_at_s(2.0) < 0


def test_unknown_fault_error_lists_the_faults():
    with pytest.raises(UsageError, match='kill_leader'):
        find_fault('flood')


@pytest.mark.parametrize('body', ['', '[]', '{}', '3'])
def test_malformed_cluster_file_is_a_usage_error(tmp_path, body):
    path = tmp_path / 'cluster.json'
    path.write_text(body)
    with pytest.raises(UsageError):
        read_cluster(str(path))
