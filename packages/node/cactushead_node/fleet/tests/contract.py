"""Contract tests for clients of upstreams that run tasks under leases.

Explanation:
    A test module of an implementation subclasses `UpstreamContract` and
    implements how its upstream is served.
"""

from abc import ABC, abstractmethod
from contextlib import asynccontextmanager

import trio
from cactushead_core.leasing import (
    LeasesRenewed,
    RenewalFailed,
    RenewLeases,
    StartAnswer,
    StartCallCompleted,
    StartLeased,
    StopCallCompleted,
    StopLeased,
)
from cactushead_core.tasks import RunEnd, TaskRef

TASK = TaskRef('5c0e7a21d94b36f8', 0, 3)
RUN_S = 0.2
LEASE_MS = 1000
TIMEOUT_S = 20.0
FENCING_TOKEN = 7
SHORT_PAYLOAD = '{"value": 1, "sleep_ms": 200}'
LONG_PAYLOAD = '{"value": 1, "sleep_ms": 5000}'


class UpstreamSession:
    """Synchronous calls of a test to one upstream."""

    def __init__(self, client, address, identity):
        self.client = client
        self.address = address
        self.identity = identity
        self.events = []
        self.offset_ms = None

    def deliver(self, make):
        self.events.append(make(trio.current_time()))

    async def wait_for(self, *kinds):
        while True:
            for event in self.events:
                if isinstance(event, kinds):
                    self.events.remove(event)
                    return event
            await trio.sleep(0.005)

    async def start(
        self,
        run=1,
        token=FENCING_TOKEN,
        lease_ms=LEASE_MS,
        payload=LONG_PAYLOAD,
    ):
        if self.offset_ms is None:
            await self.renew()
        request = StartLeased(
            self.identity,
            self.address,
            TASK,
            run,
            payload,
            self.clock_ms() + lease_ms,
            token,
        )
        self.client.start(request)
        return (await self.wait_for(StartCallCompleted)).answer

    async def stop(self, run=1, token=FENCING_TOKEN):
        self.client.stop(
            StopLeased(self.identity, self.address, TASK, run, token),
        )
        return (await self.wait_for(StopCallCompleted)).confirmed

    async def renew(
        self, acknowledged=0, wait_s=0.0, lease_ms=-1, token=FENCING_TOKEN
    ):
        lease_end_ms = self.clock_ms() + lease_ms if lease_ms > 0 else -1
        self.client.renew(
            RenewLeases(
                self.identity,
                self.address,
                lease_end_ms,
                acknowledged,
                wait_s,
                token,
            ),
        )
        event = await self.wait_for(LeasesRenewed, RenewalFailed)
        if isinstance(event, LeasesRenewed):
            self.offset_ms = event.clock_ms - _now_ms()
        return event

    def clock_ms(self):
        return _now_ms() + (self.offset_ms or 0)

    async def wait_for_end(self):
        """Returns the first listed end, without renewing the leases."""
        while True:
            listed = await self.renew(wait_s=0.1)
            if listed.ended:
                return listed.ended[0]


class UpstreamContract(ABC):
    """Tests that every implementation of `LeasedUpstream` has to pass."""

    @abstractmethod
    async def open_upstream(self, nursery, run_s):
        """Serves an upstream; returns its client, address and identity.

        Args:
            nursery: Nursery in which the upstream is served.
            run_s: Duration of a task whose payload does not set one.
        """

    @asynccontextmanager
    async def session(self, run_s=RUN_S):
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                opened = await self.open_upstream(nursery, run_s)
                session = UpstreamSession(*opened)
                await nursery.start(session.client.run, session.deliver)
                yield session
                nursery.cancel_scope.cancel()

    def check(self, test, run_s=RUN_S):
        async def run():
            async with self.session(run_s) as session:
                await test(session)

        trio.run(run)

    def test_finished_run_is_listed_until_acknowledged(self):
        async def test(session):
            assert (
                await session.start(payload=SHORT_PAYLOAD)
                is StartAnswer.STARTED
            )
            end = await session.wait_for_end()
            assert (end.task, end.run, end.end) == (TASK, 1, RunEnd.DONE)
            again = await session.renew()
            assert [row.number for row in again.ended] == [end.number]
            after = await session.renew(acknowledged=end.number)
            assert (after.ended, after.running) == (
                (),
                (),
            )

        self.check(test)

    def test_repeated_start_is_idempotent(self):
        async def test(session):
            answers = [
                await session.start(payload=SHORT_PAYLOAD) for _ in range(2)
            ]
            assert answers == [StartAnswer.STARTED] * 2
            end = await session.wait_for_end()
            assert end.number == 1
            await trio.sleep(RUN_S * 2)
            assert len((await session.renew()).ended) == 1

        self.check(test)

    def test_stopped_run_ends_and_cannot_be_restarted(self):
        async def test(session):
            await session.start()
            assert await session.stop()
            assert (await session.wait_for_end()).end is RunEnd.STOPPED
            assert await session.start() is StartAnswer.REFUSED
            assert await session.start(2) is StartAnswer.STARTED

        self.check(test, run_s=5.0)

    def test_stop_before_start_causes_the_start_to_be_refused(self):
        async def test(session):
            assert await session.stop(run=2)
            assert await session.start(2) is StartAnswer.REFUSED
            assert (await session.renew()).running == ()

        self.check(test)

    def test_call_with_a_stale_token_has_no_effect(self):
        async def test(session):
            await session.start(token=9)
            assert await session.start(2, token=8) is StartAnswer.FENCED
            assert not await session.stop(token=8)
            failed = await session.renew(token=8)
            assert isinstance(failed, RenewalFailed)
            assert failed.fenced
            listed = await session.renew(token=9)
            assert [row.run for row in listed.running] == [1]

        self.check(test, run_s=5.0)

    def test_lease_expires_without_renewal(self):
        async def test(session):
            await session.start()
            end = await session.wait_for_end()
            assert (end.run, end.end) == (1, RunEnd.LEASE_EXPIRED)

        self.check(test, run_s=5.0)

    def test_renewed_lease_keeps_the_run_alive(self):
        async def test(session):
            await session.start()
            for _ in range(7):
                await trio.sleep(RUN_S)
                listed = await session.renew(lease_ms=LEASE_MS)
            assert [(row.task, row.run) for row in listed.running] == [
                (TASK, 1),
            ]

        self.check(test, run_s=5.0)

    def test_start_with_an_expired_lease_is_refused(self):
        async def test(session):
            assert await session.start(lease_ms=-50) is StartAnswer.REFUSED
            assert (await session.renew()).running == ()

        self.check(test)

    def test_renewal_waits_for_a_run_to_end(self):
        async def test(session):
            await session.start(payload=SHORT_PAYLOAD)
            listed = await session.renew(wait_s=2.0, lease_ms=LEASE_MS)
            assert [row.end for row in listed.ended] == [RunEnd.DONE]

        self.check(test)


def _now_ms():
    return int(trio.current_time() * 1000)
