"""Tests of gathering time lines, over links that are plain calls."""

import itertools

import trio
from cactushead_core.effects import EventKind, Record
from cactushead_core.jobs import JobId
from cactushead_core.observability import TimelineFilter, TimelineQuery

from cactushead_node.observability.gather import NO_ANSWER, TimelineGatherer
from cactushead_node.observability.timeline import PAGE_EVENTS, Timeline

ALL = TimelineFilter()


class Network:
    """Delivers messages between gatherers in later loop turns."""

    def __init__(self, links, timeout_s=2.0):
        self.silent = set()
        self.sent = 0
        # One clock that moves on with each reading, so that the order of
        # the events doesn't hang on when a millisecond ends.
        seconds = itertools.count(1)
        self.timelines = {
            name: Timeline(name, wall_clock=lambda: float(next(seconds)))
            for name in links
        }
        self.gatherers = {
            name: TimelineGatherer(
                self.timelines[name],
                lambda to, message, name=name: self.send(name, to, message),
                lambda name=name: links[name],
                timeout_s=timeout_s,
            )
            for name in links
        }
        self.queue = []

    def send(self, sender, to, message):
        self.sent += 1
        if to not in self.silent:
            self.queue.append((sender, to, message))

    def gather(self, name, **options):
        async def deliver():
            while True:
                await trio.lowlevel.checkpoint()
                while self.queue:
                    sender, to, message = self.queue.pop(0)
                    assert self.gatherers[to].handle(sender, message)

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


FULL = {
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
    network = Network(FULL)
    for name in ('a1', 'e1', 'e2', 'a1'):
        record(network, name)
    events = network.gather('e1')
    assert [event.process for event in events] == ['a1', 'e1', 'e2', 'a1']


def test_long_time_line_comes_in_pages():
    network = Network(FULL)
    record(network, 'a1', 3 * PAGE_EVENTS + 1)
    events = network.gather('e1')
    assert [event.sequence for event in events] == list(
        range(1, 3 * PAGE_EVENTS + 2),
    )


def test_process_with_few_links_asks_through_a_voter():
    network = Network(FULL)
    for name, count in (('e1', 1), ('e2', 2), ('a1', 2 * PAGE_EVENTS)):
        record(network, name, count)
    record(network, 'e3')
    events = network.gather('e3', relay_peer='e2')
    found = [event.process for event in events]
    counts = [found.count(name) for name in ('e1', 'e2', 'e3', 'a1')]
    assert counts == [1, 2, 1, 2 * PAGE_EVENTS]


def test_silent_process_is_named():
    network = Network(FULL, timeout_s=0.05)
    network.silent.add('a1')
    record(network, 'e2')
    events = network.gather('e1')
    assert [(event.process, event.kind) for event in events] == [
        ('e2', EventKind.STARTED),
        ('a1', NO_ANSWER),
    ]


def test_process_without_links_shows_itself():
    network = Network({'e1': ()})
    record(network, 'e1')
    assert len(network.gather('e1')) == 1


def test_late_page_is_dropped():
    network = Network(FULL, timeout_s=0.01)
    network.silent.add('e1')
    network.gather('e1')
    network.silent.clear()
    query = network.gatherers['e1']
    page = network.timelines['e2'].make_page(_query('e1'))
    assert query.handle('e2', page)


def test_other_messages_are_left_alone():
    network = Network(FULL)
    stamp = network.timelines['e1'].make_stamp()
    assert not network.gatherers['e1'].handle('e2', stamp)


def _query(origin):
    return TimelineQuery(origin, 1, 'e2', False, 0, ALL)
