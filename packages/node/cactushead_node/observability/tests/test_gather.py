"""Tests of gathering time lines, with method calls as links."""

import itertools

import trio
from cactushead_core.effects import EventKind, Record
from cactushead_core.jobs import JobId
from cactushead_core.observability import TimelineFilter, TimelineQuery

from cactushead_node.observability.gather import NO_ANSWER, TimelineGatherer
from cactushead_node.observability.timeline import PAGE_EVENTS, Timeline

ALL = TimelineFilter()


class Network:
    """Delivers messages between gatherers at later Trio checkpoints."""

    def __init__(self, links, timeout_s=2.0):
        self.unreachable = set()
        self.sent = 0
        # All processes share a clock that advances at each reading, so that
        # the order of the events does not depend on the real time.
        seconds = itertools.count(1)
        self.timelines = {
            name: Timeline(name, wall_clock=lambda: float(next(seconds)))
            for name in links
        }
        self.gatherers = {
            name: TimelineGatherer(
                self.timelines[name],
                lambda receiver, message, name=name: self.send(
                    name,
                    receiver,
                    message,
                ),
                lambda name=name: links[name],
                timeout_s=timeout_s,
            )
            for name in links
        }
        self.queue = []

    def send(self, sender, receiver, message):
        self.sent += 1
        if receiver not in self.unreachable:
            self.queue.append((sender, receiver, message))

    def gather(self, name, **options):
        async def deliver():
            while True:
                await trio.lowlevel.checkpoint()
                while self.queue:
                    sender, receiver, message = self.queue.pop(0)
                    assert self.gatherers[receiver].handle(sender, message)

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deliver)
                gathered.extend(
                    await self.gatherers[name].gather(ALL, **options),
                )
                nursery.cancel_scope.cancel()

        gathered = []
        trio.run(run)
        return gathered


LINKS = {
    'e1': ('e2', 'a1'),
    'e2': ('e1', 'a1', 'e3'),
    'a1': ('e1', 'e2'),
    'e3': ('e2',),
}


def record(network, name, count=1):
    for index in range(count):
        effect = Record(EventKind.STARTED, JobId('s', name), index)
        network.timelines[name].record(effect)


def test_all_linked_processes_are_merged_in_order():
    network = Network(LINKS)
    for name in ('a1', 'e1', 'e2', 'a1'):
        record(network, name)
    events = network.gather('e1')
    assert [event.process for event in events] == ['a1', 'e1', 'e2', 'a1']


def test_long_time_line_is_gathered_in_pages():
    network = Network(LINKS)
    record(network, 'a1', 3 * PAGE_EVENTS + 1)
    events = network.gather('e1')
    assert [event.sequence for event in events] == list(
        range(1, 3 * PAGE_EVENTS + 2),
    )


def test_query_of_a_non_voter_is_relayed_by_a_voter():
    network = Network(LINKS)
    for name, count in (('e1', 1), ('e2', 2), ('a1', 2 * PAGE_EVENTS)):
        record(network, name, count)
    record(network, 'e3')
    events = network.gather('e3', relay_peer='e2')
    found = [event.process for event in events]
    counts = [found.count(name) for name in ('e1', 'e2', 'e3', 'a1')]
    assert counts == [1, 2, 1, 2 * PAGE_EVENTS]


def test_process_without_answer_is_reported():
    network = Network(LINKS, timeout_s=0.05)
    network.unreachable.add('a1')
    record(network, 'e2')
    events = network.gather('e1')
    assert [(event.process, event.kind) for event in events] == [
        ('e2', EventKind.STARTED),
        ('a1', NO_ANSWER),
    ]


def test_process_without_links_returns_its_own_events():
    network = Network({'e1': ()})
    record(network, 'e1')
    assert len(network.gather('e1')) == 1


def test_late_page_is_ignored():
    network = Network(LINKS, timeout_s=0.01)
    network.unreachable.add('e1')
    network.gather('e1')
    network.unreachable.clear()
    gatherer = network.gatherers['e1']
    page = network.timelines['e2'].make_page(make_query('e1'))
    assert gatherer.handle('e2', page)


def test_unrelated_message_is_not_handled():
    network = Network(LINKS)
    stamp = network.timelines['e1'].make_stamp()
    assert not network.gatherers['e1'].handle('e2', stamp)


def make_query(origin):
    return TimelineQuery(origin, 1, 'e2', False, 0, ALL)
