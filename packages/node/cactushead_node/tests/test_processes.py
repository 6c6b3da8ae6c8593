"""Tests of real processes that are killed, suspended or stopped."""

import shutil
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import pytest

from .cluster_client import (
    HTTP_ERRORS,
    ClusterClient,
    ProcessHandle,
    find_base_port,
    is_leader,
    is_ready,
    submit,
    submit_until_answered,
    wait_until,
)

# Longer than a lease and the time after which an unresponsive agent is
# considered lost.
SUSPENSION_S = 7.0
VOTER_ADMISSION_S = 2.0
PROGRAM = Path(sys.executable).parent / 'cactusheadd'


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    client = ClusterClient(tmp_path_factory.mktemp('cluster'))
    yield client
    statuses = client.close()
    assert not any(statuses), statuses
    starts = client.starts()
    assert starts
    assert not [task for task, count in starts.items() if count > 1]


@pytest.fixture(scope='module')
def pool():
    with ThreadPoolExecutor(8) as executor:
        yield executor


def run_program(*arguments):
    return subprocess.run(
        [PROGRAM, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def make_tasks(count, sleep_ms):
    return [{'value': index, 'sleep_ms': sleep_ms} for index in range(count)]


def wait_for_starts(cluster, key, count=1):
    wait_until(lambda: len(cluster.starts(key)) >= count)


@pytest.mark.parametrize('kind', ['echo', 'book'])
def test_job_through_any_entry_and_resubmission(cluster, kind):
    tasks = [{'value': index, 'sleep_ms': 60 - index} for index in range(30)]
    for entry in cluster.entries():
        key = f'{kind}-{entry.name}'
        answer = submit(entry, key, tasks, kind)
        assert answer.status == 200
        assert answer.results == list(range(30))
        for other in cluster.entries():
            assert submit(other, key, tasks, kind) == answer
        assert sorted(cluster.starts(key).values()) == [1] * 30


def test_same_key_with_other_content_is_refused(cluster):
    first, second, _ = cluster.entries()
    submit(first, 'conflict', make_tasks(1, 0))
    answer = submit(second, 'conflict', make_tasks(2, 0))
    assert answer.status == 409
    assert answer.content['not_run'] is True
    assert sum(cluster.starts('conflict').values()) == 1


def test_concurrent_submissions_of_one_key_start_once(cluster, pool):
    tasks = make_tasks(10, 100)
    pending = [
        pool.submit(submit, entry, 'race', tasks, 'book')
        for entry in cluster.entries() * 2
    ]
    answers = [future.result() for future in pending]
    assert [answer.results for answer in answers] == [list(range(10))] * 6
    assert sorted(cluster.starts('race').values()) == [1] * 10


def test_leader_killed_while_a_job_runs(cluster, pool):
    leader = cluster.leader()
    others = [entry for entry in cluster.entries() if entry is not leader]
    tasks = make_tasks(60, 400)
    pending = [
        pool.submit(submit_until_answered, [entry], key, tasks)
        for entry, key in zip(others, ('kill-a', 'kill-b'), strict=True)
    ]
    wait_for_starts(cluster, 'kill-a', 5)
    leader.signal(signal.SIGKILL)
    for future in pending:
        assert future.result().results == list(range(60))
    cluster.restart(leader)
    answer = submit_until_answered([leader], 'kill-a', tasks)
    assert answer.results == list(range(60))
    assert sorted(cluster.starts('kill-a').values()) == [1] * 60


def test_resubmission_after_the_leader_was_killed(cluster, pool):
    leader = cluster.leader()
    others = [entry for entry in cluster.entries() if entry is not leader]
    tasks = make_tasks(10, 500)
    lost = pool.submit(submit, leader, 'lost', tasks, 'book')
    wait_for_starts(cluster, 'lost')
    leader.signal(signal.SIGKILL)
    with pytest.raises(HTTP_ERRORS):
        lost.result()
    answer = submit_until_answered(others, 'lost', tasks, kind='book')
    assert answer.results == list(range(10))
    assert sorted(cluster.starts('lost').values()) == [1] * 10
    cluster.restart(leader)


def test_suspended_leader(cluster, pool):
    leader = cluster.leader()
    others = [entry for entry in cluster.entries() if entry is not leader]
    tasks = make_tasks(40, 500)
    pending = pool.submit(
        submit_until_answered,
        others,
        'freeze',
        tasks,
    )
    wait_for_starts(cluster, 'freeze', 5)
    leader.signal(signal.SIGSTOP)
    try:
        # The other entries elect a leader, which completes the job.
        assert pending.result().results == list(range(40))
        assert any(map(is_leader, others))
    finally:
        leader.signal(signal.SIGCONT)
    answer = submit_until_answered([leader], 'freeze', tasks)
    assert answer.results == list(range(40))
    assert sorted(cluster.starts('freeze').values()) == [1] * 40


def test_suspended_agent(cluster, pool):
    agent = cluster.agents()[0]
    entry = cluster.entries()[0]
    tasks = make_tasks(48, 200)
    pending = pool.submit(submit, entry, 'cold', tasks, 'book')
    wait_for_starts(cluster, 'cold', 5)
    agent.signal(signal.SIGSTOP)
    try:
        time.sleep(SUSPENSION_S)
    finally:
        agent.signal(signal.SIGCONT)
    answer = pending.result()
    assert answer.content['state'] in {'complete', 'failed'}
    assert answer.content.get('not_run', False) is False
    assert max(cluster.starts('cold').values()) == 1


def test_killed_agent_fails_tasks_that_may_have_run(cluster, pool):
    agent = cluster.agents()[1]
    entry = cluster.entries()[0]
    tasks = make_tasks(24, 1500)
    pending = pool.submit(submit, entry, 'killed', tasks, 'book')
    wait_for_starts(cluster, 'killed', 24)
    agent.signal(signal.SIGKILL)
    answer = pending.result()
    assert answer.content['state'] == 'failed'
    assert answer.content['not_run'] is False
    cluster.restart(agent)
    before = len(cluster.starts(upstream=agent.name))
    again = submit(entry, 'after', make_tasks(48, 50), 'book')
    assert again.results == list(range(48))
    wait_until(lambda: _receives_tasks_again(cluster, entry, agent, before))


def _receives_tasks_again(cluster, entry, agent, before):
    key = f'again-{time.monotonic()}'
    assert submit(entry, key, make_tasks(24, 100)).status == 200
    return len(cluster.starts(upstream=agent.name)) > before


def test_stopped_agent_completes_its_tasks(cluster, pool):
    agent = cluster.agents()[2]
    entry = cluster.entries()[0]
    tasks = make_tasks(24, 700)
    pending = pool.submit(submit, entry, 'leave', tasks, 'book')
    wait_for_starts(cluster, 'leave', 24)
    agent.signal(signal.SIGTERM)
    assert pending.result().results == list(range(24))
    cluster.wait_for_exit(agent)
    cluster.restart(agent)


@pytest.mark.parametrize('of_leader', [False, True])
def test_stopped_entry_answers_requests_in_flight(cluster, pool, of_leader):
    leader = cluster.leader()
    entry = next(
        candidate
        for candidate in cluster.entries()
        if (candidate is leader) == of_leader
    )
    key = f'drain-{of_leader}'
    tasks = make_tasks(10, 700)
    pending = pool.submit(submit, entry, key, tasks, 'book')
    wait_for_starts(cluster, key, 10)
    entry.signal(signal.SIGTERM)
    answer = pending.result()
    assert answer.status == 200
    assert answer.results == list(range(10))
    cluster.wait_for_exit(entry)
    cluster.restart(entry)


def test_all_entries_killed_at_once(cluster, pool):
    tasks = make_tasks(30, 300)
    pending = pool.submit(
        submit_until_answered,
        cluster.entries(),
        'power',
        tasks,
        kind='book',
    )
    wait_for_starts(cluster, 'power', 5)
    for entry in cluster.entries():
        entry.signal(signal.SIGKILL)
    for entry in cluster.entries():
        cluster.respawn(entry)
    answer = pending.result()
    if answer.content['state'] == 'complete':
        assert answer.results == list(range(30))
    assert max(cluster.starts('power').values()) == 1


def test_voter_with_lost_disk_and_crash_of_a_second_voter(cluster):
    first, second, third = cluster.entries()
    tasks = make_tasks(3, 0)
    first.signal(signal.SIGKILL)
    shutil.rmtree(cluster.folder / 'data' / first.name)
    before = submit_until_answered([second, third], 'before', tasks)
    cluster.restart(first)
    # Time to catch up and to become a voter again through the log.
    time.sleep(VOTER_ADMISSION_S)
    second.signal(signal.SIGKILL)
    again = submit_until_answered([first, third], 'before', tasks)
    assert again == before
    after = submit_until_answered([first, third], 'second', tasks)
    assert after.results == list(range(3))
    cluster.restart(second)
    for key in ('before', 'second'):
        assert sorted(cluster.starts(key).values()) == [1] * 3


@contextmanager
def running_local(folder):
    port = find_base_port()
    handle = ProcessHandle('entry', 'local', f'http://127.0.0.1:{port}', 0, [])
    with subprocess.Popen(
        [PROGRAM, 'local', f'--data_dir={folder}', f'--port={port}'],
    ) as process:
        wait_until(lambda: is_ready(handle))
        yield handle, process


def test_stopped_local_answers_requests_in_flight(tmp_path, pool):
    with running_local(tmp_path) as (local, process):
        pending = pool.submit(submit, local, 'k', make_tasks(12, 500), 'book')
        time.sleep(0.5)
        process.send_signal(signal.SIGTERM)
        assert pending.result().results == list(range(12))
        assert process.wait(20) == 0


def test_second_signal_exits_local_at_once(tmp_path, pool):
    with running_local(tmp_path) as (local, process):
        pending = pool.submit(submit, local, 'k', make_tasks(1, 30_000))
        time.sleep(0.5)
        for _ in range(2):
            process.send_signal(signal.SIGTERM)
            time.sleep(0.5)
        assert process.wait(5) == 1
        with pytest.raises(HTTP_ERRORS):
            pending.result()


def test_used_port_and_data_folder_are_reported(tmp_path):
    with running_local(tmp_path / 'first') as (local, process):
        port = local.url.rpartition(':')[2]
        for folder, expected_text in (
            ('first', str(tmp_path / 'first')),
            ('second', 'Address already in use'),
        ):
            completed = run_program(
                'local',
                f'--data_dir={tmp_path / folder}',
                f'--port={port}',
            )
            assert completed.returncode == 1
            assert expected_text in completed.stderr
            assert 'Traceback' not in completed.stderr
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0


@pytest.mark.parametrize(
    ('arguments', 'expected_text'),
    [
        ([], 'name a role'),
        (['entry'], 'settings'),
        (['agent', '--settings'], ''),
        (['agent', '--settings', '/nowhere.json'], '/nowhere.json'),
        (['entry', '--settings=/dev/null'], 'settings: '),
        (['boss', '--settings=x'], 'boss'),
    ],
)
def test_usage_error_exits_with_status_2(arguments, expected_text):
    completed = run_program(*arguments)
    assert completed.returncode == 2
    assert expected_text in completed.stderr


def test_all_findings_of_settings_are_printed(tmp_path):
    settings = tmp_path / 'agent.json'
    settings.write_text('{"name": 5, "colour": 1}')
    completed = run_program('agent', '--settings', settings)
    assert completed.returncode == 2
    for field in ('name', 'colour', 'cell', 'voters', 'upstream'):
        assert f'cactusheadd: settings: {field}' in completed.stderr
