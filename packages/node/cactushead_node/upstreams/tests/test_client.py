"""Tests of the upstream client against real sockets."""

import json
from contextlib import asynccontextmanager
from functools import partial

import httpcore
import pytest
import trio
from cactushead_core.agents.model import (
    Assignment,
    OutcomeStatus,
    UpstreamSpec,
)
from cactushead_core.effects import StartRun, StopRun
from cactushead_core.events import RunEnded, StopEnded, UpstreamChecked
from cactushead_core.jobs import JobId
from cactushead_node.connections import make_connection_pool
from cactushead_node.upstreams import UpstreamClient, UpstreamTarget
from cactushead_node.upstreams import client as client_module
from cactushead_node.upstreams.exchange import KEEPALIVE_S, Exchange
from cactushead_node.upstreams.sample import SampleUpstream
from cactushead_node.upstreams.sample_server import serve_sample

HOST = '127.0.0.1'
TIMEOUT_S = 10.0
JOB = JobId('sample', 'k 1/ä')
SPEC = UpstreamSpec('u1')
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'


def make_start(index=0, timeout_s=5.0, start_by_s=float('inf'), **task):
    body = json.dumps({'value': index, **task}).encode()
    assignment = Assignment(JOB, index, 1, 'echo', 1, timeout_s, body)
    return StartRun(assignment, start_by_s)


class Agent:
    """Client of an upstream that records the delivered events."""

    def __init__(self, port):
        target = UpstreamTarget(HOST, port, '/run', '/health', SPEC)
        self.client = UpstreamClient(target, self._deliver, lambda: 0.0)
        self.events = []

    def _deliver(self, make_event):
        self.events.append(make_event(0.0))

    async def wait_for(self, event_type):
        while True:
            for event in self.events:
                if isinstance(event, event_type):
                    self.events.remove(event)
                    return event
            await trio.sleep(0.01)

    async def run(self, start):
        self.client.start(start)
        return (await self.wait_for(RunEnded)).outcome


@asynccontextmanager
async def running_agent(serve):
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            agent = Agent(await nursery.start(serve))
            await nursery.start(agent.client.run)
            yield agent
            nursery.cancel_scope.cancel()


def sample_upstream_server(starts_file=None):
    upstream = SampleUpstream(starts_file)
    return partial(serve_sample, upstream, HOST, 0, trio.sleep_forever)


def handler_server(handle):
    """Returns a TCP server that runs a handler for each connection."""

    async def serve(task_status):
        await trio.serve_tcp(handle, 0, host=HOST, task_status=task_status)

    async def start(task_status):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(serve)
            task_status.started(listeners[0].socket.getsockname()[1])

    return start


def check(serve, test):
    async def run():
        async with running_agent(serve) as agent:
            await test(agent)

    trio.run(run)


@pytest.mark.parametrize(
    ('task', 'status', 'result'),
    [
        ({}, OutcomeStatus.SUCCEEDED, b'0'),
        ({'value': [1, None]}, OutcomeStatus.SUCCEEDED, b'[1, null]'),
        ({'fail': True}, OutcomeStatus.FAILED, b''),
        ({'sleep_ms': -1}, OutcomeStatus.FAILED, b''),
        ({'start_by_s': -1.0}, OutcomeStatus.REFUSED, b''),
        ({'sleep_ms': 5000, 'timeout_s': 0.1}, OutcomeStatus.FAILED, b''),
    ],
)
def test_outcome_of_sample(task, status, result):
    async def test(agent):
        outcome = await agent.run(make_start(**task))
        assert (outcome.status, outcome.result_json) == (status, result)

    check(sample_upstream_server(), test)


def test_start_is_recorded_once_with_its_task_identity(tmp_path):
    async def test(agent):
        await agent.run(make_start(3))

    starts = tmp_path / 'starts.jsonl'
    check(sample_upstream_server(starts), test)
    line = json.loads(starts.read_text())
    line.pop('time_s')
    assert line == {
        'task_id': JOB.task_id(3),
        'service': JOB.service,
        'job_key': JOB.key,
        'task_index': 3,
    }


def test_stopped_task_is_cancelled():
    async def test(agent):
        start = make_start(sleep_ms=5000)
        agent.client.start(start)
        await trio.sleep(0.1)
        agent.client.stop(StopRun(start.assignment.task_id))
        assert (await agent.wait_for(StopEnded)).stopped
        ended = await agent.wait_for(RunEnded)
        assert ended.outcome.status is OutcomeStatus.CANCELLED

    check(sample_upstream_server(), test)


def test_404_does_not_confirm_a_stop_that_overtook_its_start():
    async def test(agent):
        start = make_start(sleep_ms=300)
        agent.client.stop(StopRun(start.assignment.task_id))
        agent.client.start(start)
        assert (await agent.wait_for(StopEnded)).stopped
        ended = await agent.wait_for(RunEnded)
        assert ended.outcome.status is OutcomeStatus.CANCELLED

    check(sample_upstream_server(), test)


def test_stop_of_unknown_task_is_confirmed():
    async def test(agent):
        agent.client.stop(StopRun('sample/old/0'))
        assert (await agent.wait_for(StopEnded)).stopped

    check(sample_upstream_server(), test)


def test_refused_connection_means_the_task_did_not_start():
    async def test():
        agent = Agent(1)
        async with trio.open_nursery() as nursery:
            await nursery.start(agent.client.run)
            outcome = await agent.run(make_start())
            assert outcome.status is OutcomeStatus.REFUSED
            nursery.cancel_scope.cancel()

    trio.run(test)


async def close_after_request(stream):
    await stream.receive_some()
    await stream.aclose()


async def send_truncated_response(stream):
    await stream.receive_some()
    await stream.send_all(RESPONSE[:-2] % 100)
    await stream.aclose()


async def send_malformed_response(stream):
    await stream.receive_some()
    await stream.send_all(b'garbage\r\n\r\n')
    await stream.aclose()


async def send_no_response(stream):
    async for _ in stream:
        continue


@pytest.mark.parametrize(
    'handle',
    [
        close_after_request,
        send_truncated_response,
        send_malformed_response,
        send_no_response,
    ],
)
def test_error_after_writing_gives_an_unknown_outcome(handle, monkeypatch):
    monkeypatch.setattr(client_module, 'STOP_TIMEOUT_S', 0.2)

    async def test(agent):
        outcome = await agent.run(make_start(timeout_s=0.3))
        assert outcome.status is OutcomeStatus.UNKNOWN

    check(handler_server(handle), test)


@pytest.mark.parametrize(
    'body',
    [b'', b'{', b'NaN', b'x' * 100],
)
def test_response_without_valid_json_is_a_failure(body):
    async def respond(stream):
        await stream.receive_some()
        await stream.send_all(RESPONSE % (len(body), body))
        await stream.aclose()

    async def test(agent):
        outcome = await agent.run(make_start())
        assert outcome.status is OutcomeStatus.FAILED

    check(handler_server(respond), test)


def test_upstream_is_down_after_two_failed_checks(monkeypatch):
    monkeypatch.setattr(client_module, 'CHECK_INTERVAL_S', 0.01)
    status_lines = [b'200 OK', b'500 no', b'200 OK', b'500 no', b'500 no']

    async def respond(stream):
        await stream.receive_some()
        status = status_lines.pop(0) if status_lines else b'200 OK'
        await stream.send_all(b'HTTP/1.1 %b\r\nContent-Length: 0\r\n' % status)
        await stream.send_all(b'Connection: close\r\n\r\n')
        await stream.aclose()

    async def test(agent):
        checks = [(await agent.wait_for(UpstreamChecked)) for _ in range(4)]
        assert [check.upstream for check in checks] == [SPEC, SPEC, None, SPEC]

    check(handler_server(respond), test)


async def close_when_idle(stream):
    """Responds to one request and closes the idle connection."""
    await stream.receive_some()
    await stream.send_all(RESPONSE % (1, b'1'))
    await stream.aclose()


def test_closed_idle_connection_is_not_reused():
    async def test(agent):
        for index in range(3):
            outcome = await agent.run(make_start(index))
            assert outcome.status is OutcomeStatus.SUCCEEDED
            await trio.sleep(0.05)

    check(handler_server(close_when_idle), test)


async def close_in_next_request(stream):
    """Responds to one request and closes while the next is written."""
    request = b''
    # The body may arrive in a separate segment.
    while not request.endswith(b'{}'):
        request += await stream.receive_some()
    await stream.send_all(RESPONSE % (1, b'1'))
    await stream.receive_some()
    await stream.aclose()


def test_close_during_a_request_is_raised_after_writing():
    async def test():
        async with trio.open_nursery() as nursery:
            port = await nursery.start(handler_server(close_in_next_request))
            url = f'http://{HOST}:{port}/run'
            async with make_connection_pool(1, KEEPALIVE_S) as pool:
                first = Exchange('POST', url, body=b'{}')
                await first.perform(pool, lambda: 0.0)
                second = Exchange('POST', url, body=b'{}')
                with pytest.raises(
                    (httpcore.RemoteProtocolError, httpcore.ReadError),
                ):
                    await second.perform(pool, lambda: 0.0)
                assert second.written
            nursery.cancel_scope.cancel()

    trio.run(test)
