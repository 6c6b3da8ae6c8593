"""Tests of complete load runs against a fake system in this process."""

import json

import pytest
import trio
from cactushead_cli.bench import LoadRun, LoadSpec, ResponseRun, RunOptions
from cactushead_cli.bench import run as run_module
from cactushead_cli.client import HttpcoreTransport, UsageError
from hypercorn.config import Config
from hypercorn.trio import serve

SPEC = LoadSpec('single', 0.2, 0.5, 1, upstreams=2)


class FakeSystem:
    """ASGI application that answers each job and writes start records."""

    def __init__(self, folder, starts_per_task=1):
        self.file = folder / 'starts' / 'u1.jsonl'
        self.file.parent.mkdir()
        self.starts_per_task = starts_per_task

    async def __call__(self, scope, receive, send):
        if scope['type'] == 'lifespan':
            for phase in ('startup', 'shutdown'):
                await receive()
                await send({'type': f'lifespan.{phase}.complete'})
            return
        body = b'{}'
        if scope['method'] == 'POST':
            message = await receive()
            key = dict(scope['headers'])[b'idempotency-key'].decode()
            body = self.run_job(key, json.loads(message['body'])['tasks'])
        start = {'type': 'http.response.start', 'status': 200, 'headers': []}
        await send(start)
        await send({'type': 'http.response.body', 'body': body})

    def run_job(self, key, tasks):
        with self.file.open('a') as stream:
            for index in range(len(tasks)):
                start = {'job_key': key, 'task_index': index, 'time_s': 1.0}
                line = f'{json.dumps(start)}\n'
                stream.write(line * self.starts_per_task)
        results = [task['input']['value'] for task in tasks]
        return json.dumps({'state': 'complete', 'results': results}).encode()


async def run_with_system(system, measure):
    config = Config()
    config.bind = ['127.0.0.1:0']
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(serve, system, config)
        try:
            return await measure(binds[0])
        finally:
            nursery.cancel_scope.cancel()


def run_load(system, folder):
    async def measure(entry):
        options = RunOptions(SPEC, 's', (entry,), str(folder), processes=1)
        return await LoadRun(options).perform()

    return trio.run(run_with_system, system, measure)


def test_correct_system_violates_no_invariant(tmp_path):
    report = run_load(FakeSystem(tmp_path), tmp_path)
    assert report.invariants_hold
    assert report.starts_checked
    assert report.jobs == report.ratio.count > 0


def test_duplicate_starts_are_reported(tmp_path):
    report = run_load(FakeSystem(tmp_path, starts_per_task=2), tmp_path)
    assert not report.invariants_hold
    violated = [check.promise for check in report.promises if check.count]
    assert violated == ['task started twice']


def test_added_time_is_measured_for_each_kind(tmp_path):
    async def measure(entry):
        transport = HttpcoreTransport()
        return await ResponseRun(transport, entry, 's', 1).perform(3)

    report = trio.run(run_with_system, FakeSystem(tmp_path), measure)
    assert report.all_correct
    assert [kind.added_ms.count for kind in report.kinds] == [3, 3]


@pytest.mark.parametrize(
    ('changes', 'finding'),
    [
        ({'processes': 0}, 'processes must be above 0, got 0'),
        ({'fault': 'kill_leader'}, 'needs --cluster'),
        ({'fault': 'flood'}, 'expected a fault of'),
    ],
)
def test_invalid_options_are_a_usage_error(changes, finding):
    with pytest.raises(UsageError, match=finding):
        LoadRun(RunOptions(SPEC, 's', ('http://a',), **changes))


@pytest.fixture(autouse=True)
def no_start_delay(monkeypatch):
    monkeypatch.setattr(run_module, 'START_DELAY_S', 0.0)
