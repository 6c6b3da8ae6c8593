"""Tests of placement policies and of the index of pools."""

import random

import pytest
from cactushead_core.documents import Selector
from cactushead_core.documents.model import Label
from cactushead_core.scheduling import (
    FairOrder,
    FirstFitPlacement,
    RandomPlacement,
    Scheduler,
    SpreadPlacement,
)

from .builders import document, outcome, spec, task


def make(specs, placement=None, **fields):
    placement = placement or SpreadPlacement('near')
    scheduler = Scheduler(FairOrder, placement, **fields)
    scheduler.set_document(document(), 0.0)
    for announced in specs:
        scheduler.set_upstream(announced, available=True, now_s=0.0)
    return scheduler


def place(scheduler, count, key='j', **fields):
    for index in range(count):
        scheduler.enqueue(task(key, index, **fields))
    return [placed.upstream for placed in scheduler.place(0.0)]


@pytest.mark.parametrize(
    ('specs', 'count', 'expected'),
    [
        ([spec('a', slots=2), spec('b', slots=4)], 1, {'b': 1}),
        ([spec('a', slots=4), spec('b', slots=4)], 4, {'a': 2, 'b': 2}),
        ([spec('a', slots=1), spec('b', slots=8)], 9, {'a': 1, 'b': 8}),
        ([spec('a'), spec('b', data_centre='near')], 4, {'b': 4}),
        ([spec('a'), spec('b', data_centre='near')], 8, {'a': 2, 'b': 6}),
        ([spec('a', cores=2.0), spec('b', cores=4.0)], 6, {'a': 2, 'b': 4}),
        ([spec('a', cores=0.5)], 3, {}),
    ],
)
def test_spread_placement(specs, count, expected):
    names = place(make(specs), count, cores=1.0)
    assert {name: names.count(name) for name in names} == expected


def test_job_is_spread_over_racks():
    specs = [spec(f'u{index}', rack=f'r{index // 3}') for index in range(9)]
    names = place(make(specs), 3)
    assert len({int(name[1:]) // 3 for name in names}) == 3


@pytest.mark.parametrize('depth', [0, 1, 2])
def test_queue_depth_allows_tasks_beyond_the_slots(depth):
    specs = [spec('a', slots=2), spec('b', slots=4, data_centre='near')]
    scheduler = make(specs, queue_depth=depth)
    names = place(scheduler, 20)
    assert len(names) == 6 + 2 * depth
    assert sorted(names[:6]) == ['a', 'a', 'b', 'b', 'b', 'b']


@pytest.mark.parametrize(
    'placement', [FirstFitPlacement(), RandomPlacement(3), SpreadPlacement()]
)
def test_memory_is_allocated_and_released(placement):
    scheduler = make([spec('a', memory_mb=1000.0)], placement)
    assert len(place(scheduler, 5, memory_mb=400.0)) == 2
    scheduler.task_ended('a', outcome(task('j', 0)), 0.0)
    assert len(scheduler.place(0.1)) == 1


def test_unavailable_upstream_gets_no_tasks():
    scheduler = make([spec('a'), spec('b')])
    scheduler.set_unavailable('a', 0.0)
    assert set(place(scheduler, 4)) == {'b'}


def test_relabelled_upstream_changes_its_pool():
    scheduler = make([spec('a')])
    only = Selector(labels=(Label('tier', 'x'),))
    scheduler.set_document(document(upstreams=only, version=2), 0.0)
    assert place(scheduler, 1) == []
    labelled = spec('a', labels=(Label('tier', 'x'),))
    scheduler.set_upstream(labelled, available=True, now_s=0.0)
    assert [placed.upstream for placed in scheduler.place(0.0)] == ['a']
    scheduler.check_invariants()


def test_upstream_with_most_free_capacity_is_chosen():
    specs = [spec(f'u{index}', slots=4) for index in range(500)]
    scheduler = make(specs, SpreadPlacement())
    rng, running = random.Random(7), []
    for index in range(3000):
        scheduler.enqueue(task(f'j{index}', 0))
        states = scheduler._registry.states
        most = max(state.free_capacity for state in states.values())
        (placed,) = scheduler.place(0.0)
        assert states[placed.upstream].free_capacity == most - 1
        running.append(placed)
        if len(running) > 900:
            ended = running.pop(rng.randrange(len(running)))
            scheduler.task_ended(ended.upstream, outcome(ended.task), 0.0)


class CountingPlacement(SpreadPlacement):
    """Counts the calls."""

    calls = 0

    def _choose(self, *args):
        self.calls += 1
        return super()._choose(*args)


def test_blocked_queue_is_not_scanned_in_each_pass():
    placement = CountingPlacement()
    scheduler = make([spec('a', cores=1.0)], placement)
    for number in range(1000):
        scheduler.enqueue(task(f'j{number}', 0, cores=2.0))
    assert scheduler.place(0.0) == []
    assert placement.calls == 1
    assert place(scheduler, 1, key='small', cores=1.0) == ['a']
    assert placement.calls <= 3
