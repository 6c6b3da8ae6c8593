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


def fill(timeline, count):
    for index in range(count):
        timeline.record(Record(EventKind.STARTED, JOB, index))


def query(after_sequence=0, wanted=ALL):
    return TimelineQuery('e2', 1, 'e1', False, after_sequence, wanted)


def test_burst_of_jobs_drops_no_cell_event():
    timeline = Timeline('e1', job_events=5)
    timeline.record(Record(EventKind.LEADER, subject='e1'))
    fill(timeline, 100)
    events = timeline.select(ALL)
    assert [event.sequence for event in events] == [1, 97, 98, 99, 100, 101]
    assert events[0].kind == EventKind.LEADER


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
        Record(EventKind.DOCUMENT, subject='sample'),
        Record(EventKind.ADMITTED, JobId('other', 'k3')),
    ):
        clock.now_s += 1
        timeline.record(effect)
    found = [event.sequence for event in timeline.select(wanted)]
    assert found == sequences


def test_pages_hold_all_events_once():
    timeline = Timeline('e1')
    fill(timeline, 2 * PAGE_EVENTS)
    first = timeline.make_page(query())
    second = timeline.make_page(query(first.events[-1].sequence))
    assert (first.complete, second.complete) == (False, True)
    assert list(first.events + second.events) == timeline.select(ALL)


def test_page_passes_the_wire():
    timeline = Timeline('e1')
    fill(timeline, 2)
    messages = [query(), timeline.make_page(query(), ('a1',)), ClockStamp(7)]
    assert decode_frame(encode_frame(messages)) == messages


def test_effect_in_another_process_is_stamped_later():
    ahead = Timeline('e1', wall_clock=Clock(1000.05))
    behind = Timeline('a1', wall_clock=Clock(1000.0))
    fill(ahead, 1)
    behind.receive_stamp('e1', ahead.make_stamp())
    fill(behind, 1)
    assert behind.select(ALL)[0].stamp > ahead.select(ALL)[0].stamp


def test_clock_that_is_hours_off_is_reported_once_a_minute(caplog):
    timeline = Timeline('e1', wall_clock=Clock())
    off = Timeline('e2', wall_clock=Clock(1000.0 + 7200))
    for _ in range(3):
        timeline.receive_stamp('e2', off.make_stamp())
    assert timeline.refused_stamps == 3
    assert len(caplog.records) == 1
    assert 'e2 is 7200.0 s ahead' in caplog.text


def test_long_detail_is_cut():
    timeline = Timeline('e1')
    timeline.record(Record(EventKind.TASK_ENDED, JOB, 0, detail='x' * 10_000))
    assert timeline.select(ALL)[0].detail == 'x' * MAX_DETAIL_CHARS


def test_line_names_the_job():
    timeline = Timeline('e1', wall_clock=Clock())
    fill(timeline, 1)
    line = json.loads(event_json_line(timeline.select(ALL)[0]))
    assert (line['service'], line['job'], line['task_index']) == (
        'sample',
        'k1',
        0,
    )
