"""Tests of the time line of one process."""

import json

import pytest
from cactushead_core.effects import EventKind, Record
from cactushead_core.jobs import JobId
from cactushead_core.messages import decode_frame, encode_frame
from cactushead_core.observability import (
    ClockStamp,
    TimelineFilter,
    TimelineQuery,
)

from cactushead_node.observability.timeline import (
    MAX_DETAIL_CHARS,
    PAGE_EVENTS,
    Timeline,
    event_json_line,
)

JOB = JobId('sample', 'k1')
ALL = TimelineFilter()


class Clock:
    def __init__(self, now_s=1000.0):
        self.now_s = now_s

    def __call__(self):
        return self.now_s


def record_starts(timeline, count):
    for index in range(count):
        timeline.record(Record(EventKind.STARTED, JOB, index))


def query(after_sequence=0, wanted=ALL):
    return TimelineQuery('e2', 1, 'e1', False, after_sequence, wanted)


def test_burst_of_jobs_evicts_no_cell_event():
    timeline = Timeline('e1', job_events=5)
    timeline.record(Record(EventKind.LEADER_ELECTED, subject='e1'))
    record_starts(timeline, 100)
    events = timeline.select(ALL)
    assert [event.sequence for event in events] == [1, 97, 98, 99, 100, 101]
    assert events[0].kind == EventKind.LEADER_ELECTED


@pytest.mark.parametrize(
    ('wanted', 'sequences'),
    [
        (TimelineFilter(job='k1'), [1]),
        (TimelineFilter(service='sample'), [1, 2, 3]),
        (TimelineFilter(service='other'), [4]),
        (TimelineFilter(since_s=1003), [3, 4]),
        (TimelineFilter(until_s=1001.5), [1]),
        (TimelineFilter('k1', 'other'), []),
    ],
)
def test_filter(wanted, sequences):
    clock = Clock()
    timeline = Timeline('e1', wall_clock=clock)
    for effect in (
        Record(EventKind.ADMITTED, JOB),
        Record(EventKind.ADMITTED, JobId('sample', 'k2')),
        Record(EventKind.DOCUMENT_ACCEPTED, subject='sample'),
        Record(EventKind.ADMITTED, JobId('other', 'k3')),
    ):
        clock.now_s += 1
        timeline.record(effect)
    selected = [event.sequence for event in timeline.select(wanted)]
    assert selected == sequences


def test_pages_contain_each_event_once():
    timeline = Timeline('e1')
    record_starts(timeline, 2 * PAGE_EVENTS)
    first = timeline.make_page(query())
    second = timeline.make_page(query(first.events[-1].sequence))
    assert (first.complete, second.complete) == (False, True)
    assert list(first.events + second.events) == timeline.select(ALL)


def test_page_is_unchanged_by_encoding_and_decoding():
    timeline = Timeline('e1')
    record_starts(timeline, 2)
    messages = [query(), timeline.make_page(query(), ('a1',)), ClockStamp(7)]
    assert decode_frame(encode_frame(messages)) == messages


def test_event_after_a_received_frame_has_a_later_stamp():
    ahead = Timeline('e1', wall_clock=Clock(1000.05))
    behind = Timeline('a1', wall_clock=Clock(1000.0))
    record_starts(ahead, 1)
    behind.receive_stamp('e1', ahead.make_stamp())
    record_starts(behind, 1)
    assert behind.select(ALL)[0].stamp > ahead.select(ALL)[0].stamp


def test_warning_of_a_clock_far_ahead_is_rate_limited(caplog):
    timeline = Timeline('e1', wall_clock=Clock())
    ahead = Timeline('e2', wall_clock=Clock(1000.0 + 7200))
    for _ in range(3):
        timeline.receive_stamp('e2', ahead.make_stamp())
    assert timeline.refused_stamps == 3
    assert len(caplog.records) == 1
    assert 'e2 is 7200.0 s ahead' in caplog.text


def test_long_detail_is_truncated():
    timeline = Timeline('e1')
    timeline.record(Record(EventKind.TASK_ENDED, JOB, 0, detail='x' * 10_000))
    assert timeline.select(ALL)[0].detail == 'x' * MAX_DETAIL_CHARS


def test_json_line_contains_the_job():
    timeline = Timeline('e1', wall_clock=Clock())
    record_starts(timeline, 1)
    line = json.loads(event_json_line(timeline.select(ALL)[0]))
    assert (line['service'], line['job'], line['task_index']) == (
        'sample',
        'k1',
        0,
    )
