"""Tests of the encoded time line and metrics of an entry."""

import json

import pytest
import trio
from cactushead_core.effects import Record
from cactushead_core.jobs import JobId

from cactushead_node.observability import Timeline, TimelineGatherer
from cactushead_node.observability.metrics import Metrics
from cactushead_node.observability.reports import LINES_PER_CHECKPOINT, Reports


def make_reports(queried, peers=()):
    timeline = Timeline('e1')
    for index in range(LINES_PER_CHECKPOINT + 5):
        timeline.record(Record('task started', JobId('s', f'k{index}'), 0))
    gatherer = TimelineGatherer(
        timeline,
        lambda peer, message: queried.append(peer),
        lambda: peers,
        timeout_s=0.01,
    )
    return Reports(timeline, Metrics('e1'), gatherer, lambda: '')


@pytest.mark.parametrize(
    ('query', 'count'),
    [
        ({}, LINES_PER_CHECKPOINT + 5),
        ({'scope': 'process', 'job': 'k3'}, 1),
        ({'service': 'other'}, 0),
    ],
)
def test_all_matching_events_are_encoded(query, count):
    body = trio.run(make_reports([]).timeline_json, query)
    lines = [json.loads(line) for line in body.splitlines()]
    assert len(lines) == count


@pytest.mark.parametrize(
    ('scope', 'expected'),
    [('process', []), ('cell', ['a'])],
)
def test_scope_selects_the_queried_processes(scope, expected):
    queried = []
    reports = make_reports(queried, peers=('a',))
    trio.run(reports.timeline_json, {'scope': scope})
    assert queried == expected
