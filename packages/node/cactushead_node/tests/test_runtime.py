"""Tests of the runtime with a scripted reducer."""

import pytest
import trio
from cactushead_core import effects as fx
from cactushead_core.agents.messages import Acknowledge
from cactushead_core.events import (
    CallerDisconnected,
    DrainRequested,
    JobQueried,
    LogSynced,
    Tick,
    TurnEnded,
)
from cactushead_core.jobs import JobId, JobState, JobStatus
from cactushead_core.reducer import Node

from cactushead_node.ports import MessageTransport
from cactushead_node.runtime import Runtime
from cactushead_node.storage import MemoryStorage

JOB = JobId('s', 'k')
RESPONSE = fx.StatusResponse(JobStatus(JOB, JobState.QUEUED, 1, 0))
NEVER_S = 1e9


class ScriptedNode(Node):
    """Returns given effects for each event type and records the events."""

    def __init__(self, script):
        super().__init__()
        self.script = script
        self.events = []

    def _reduce(self, event, effects):
        self.events.append(event)
        effects.extend(self.script.get(type(event), ()))

    def events_of_type(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


class RecordingTransport(MessageTransport):
    """Records the sent frames."""

    def __init__(self):
        self.frames = []

    def send(self, peer, messages):
        self.frames.append((peer, list(messages)))


def make_query(now_s, request_id):
    return JobQueried(now_s, request_id, JOB)


def run(test, script, tick_s=NEVER_S, storage=None):
    async def main():
        node = ScriptedNode(script)
        transport = RecordingTransport()
        runtime = Runtime(node, transport, tick_s=tick_s, storage=storage)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runtime.run)
                await test(runtime, node, transport)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_gets_its_response():
    async def test(runtime, node, transport):
        assert await runtime.request(make_query) == RESPONSE
        await trio.sleep(0.01)
        assert not node.events_of_type(CallerDisconnected)

    run(test, {JobQueried: [fx.Respond(1, RESPONSE)]})


def test_cancelled_request_delivers_caller_gone():
    async def test(runtime, node, transport):
        with trio.move_on_after(0.01):
            await runtime.request(make_query)
        await trio.sleep(0.01)
        assert [
            event.request_id
            for event in node.events_of_type(CallerDisconnected)
        ] == [1]

    run(test, {})


def test_messages_of_one_turn_to_one_peer_are_sent_as_one_frame():
    first, second = Acknowledge(1, ('a',)), Acknowledge(1, ('b',))
    script = {
        DrainRequested: [fx.Send('a', first), fx.Send('b', first)],
        TurnEnded: [fx.Send('a', second)],
    }

    async def test(runtime, node, transport):
        await trio.sleep(0.01)
        transport.frames.clear()
        runtime.deliver(DrainRequested)
        await trio.sleep(0.01)
        assert transport.frames == [('a', [first, second]), ('b', [first])]

    run(test, script)


def test_queued_events_share_a_turn_and_get_their_time_when_processed():
    async def test(runtime, node, transport):
        await trio.sleep(0.01)
        node.events.clear()
        for _ in range(3):
            runtime.deliver(DrainRequested)
        await trio.sleep(0.01)
        kinds = [type(event) for event in node.events]
        assert kinds == [DrainRequested] * 3 + [TurnEnded]
        times_s = [event.now_s for event in node.events]
        assert times_s == sorted(times_s)

    run(test, {})


def test_ticks_are_delivered_without_other_events():
    async def test(runtime, node, transport):
        while len(node.events_of_type(Tick)) < 3:
            await trio.sleep(0.01)

    run(test, {}, tick_s=0.01)


def test_completed_writes_are_delivered_as_events():
    log_entry = fx.LogEntry(1, 1, b'x')
    storage = MemoryStorage()

    async def test(runtime, node, transport):
        runtime.deliver(DrainRequested)
        while not node.events_of_type(LogSynced):
            await trio.sleep(0.01)
        assert node.events_of_type(LogSynced)[0].index == 1

    run(
        test,
        {DrainRequested: [fx.AppendLog((log_entry,))]},
        storage=storage,
    )
    assert storage.load().entries == (log_entry,)


def test_drained_is_set_by_the_effect():
    async def test(runtime, node, transport):
        runtime.deliver(DrainRequested)
        await runtime.drained.wait()

    run(test, {DrainRequested: [fx.Drained()]})


def test_effect_without_a_handler_is_an_error():
    async def test(runtime, node, transport):
        runtime.deliver(DrainRequested)
        await trio.sleep_forever()

    with pytest.raises(ExceptionGroup):
        run(test, {DrainRequested: [fx.StopRun('a')]})
