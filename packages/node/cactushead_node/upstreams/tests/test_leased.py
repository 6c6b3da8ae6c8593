"""Contract tests of leased runs over the project's upstream protocol."""

from functools import partial

import trio
from cactushead_core.agents.model import UpstreamSpec
from cactushead_core.leasing import HeartbeatReceived
from cactushead_core.tasks import RunEnd
from cactushead_node.fleet.tests.contract import UpstreamContract
from cactushead_node.upstreams import HttpLeasedUpstream, UpstreamTarget
from cactushead_node.upstreams.sample import SampleUpstream
from cactushead_node.upstreams.sample_server import serve_sample

HOST = '127.0.0.1'


async def serve_sample_upstream(nursery, upstream):
    port = await nursery.start(
        partial(serve_sample, upstream, HOST, 0, trio.sleep_forever),
    )
    return open_client(port)


def open_client(port):
    target = UpstreamTarget(HOST, port, '/run', '/health', UpstreamSpec('u1'))
    client = HttpLeasedUpstream(target, 'sample', trio.current_time)
    return client, f'{HOST}:{port}', client.identity


class TestHttpLeasedUpstream(UpstreamContract):
    """Runs the contract tests against the sample upstream."""

    async def open_upstream(self, nursery, run_s):
        return await serve_sample_upstream(nursery, SampleUpstream())

    def test_healthy_upstream_is_announced_with_capacity(self):
        async def test(session):
            event = await session.wait_for(HeartbeatReceived)
            heartbeat = event.heartbeat
            assert heartbeat.identity == session.identity
            assert (heartbeat.service, heartbeat.capacity.cpu_m) == (
                'sample',
                64_000,
            )

        self.check(test)

    def test_stop_ends_the_task_at_the_upstream(self):
        upstream = SampleUpstream()

        async def test(session):
            await session.start()
            while not upstream.running:
                await trio.sleep(0.01)
            await session.stop()
            await session.wait_for_end()
            assert upstream.running == 0

        self.open_upstream = lambda nursery, _: serve_sample_upstream(
            nursery, upstream
        )
        self.check(test)


class DisconnectingUpstream:
    """Closes the connection of each task; confirms the third stop request."""

    def __init__(self):
        self.stops = 0

    async def __call__(self, stream):
        request = await stream.receive_some()
        if request.startswith(b'POST'):
            return
        self.stops += request.startswith(b'DELETE')
        status = b'404 Gone' if self.stops > 2 else b'503 Busy'
        await stream.send_all(
            b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % status,
        )


def test_run_with_broken_exchange_ends_after_a_confirmed_stop():
    upstream = DisconnectingUpstream()

    class Session(TestHttpLeasedUpstream):
        async def open_upstream(self, nursery, run_s):
            listeners = await nursery.start(
                partial(trio.serve_tcp, upstream, 0, host=HOST),
            )
            return open_client(listeners[0].socket.getsockname()[1])

    async def test(session):
        await session.start()
        end = await session.wait_for_end()
        assert end.end in {RunEnd.CRASHED, RunEnd.LEASE_EXPIRED}
        assert upstream.stops > 2

    Session().check(test)
