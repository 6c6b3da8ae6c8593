"""Tests of traffic counters and costs per task."""

import pytest
from cactushead_cli.bench.costs import (
    compute_counter_deltas,
    compute_task_costs,
    flatten_counters,
)


def test_counters_are_summed_at_any_depth():
    raw = {
        'links': {'sent_frames': 3, 'up': True},
        'peers': [{'sent_frames': 4}, {'received_frames': 1}],
    }
    totals = flatten_counters(raw)
    assert (totals['sent_frames'], totals['received_frames']) == (7, 1)


def test_labelled_counter_is_summed_by_its_name():
    raw = {'counters': {'log_records': {'job': 3, 'task': 4}}}
    assert flatten_counters(raw)['log_records'] == 7


def test_restarted_entry_counts_from_zero():
    before = [{'sent_frames': 100}, {'sent_frames': 10}]
    after = [{'sent_frames': 30}, {'sent_frames': 15}]
    assert compute_counter_deltas(before, after) == {'sent_frames': 35}


def test_costs_are_per_useful_task():
    counter_deltas = {
        'sent_frames': 10,
        'received_frames': 20,
        'sent_messages': 40,
        'appended_records': 15,
    }
    costs = compute_task_costs(counter_deltas, 10)
    assert (costs.frames, costs.messages, costs.records) == (3, 4, 1.5)
    assert costs.wasted_frames == pytest.approx(2.5)
    assert costs.size_bytes is None


@pytest.mark.parametrize('useful_tasks', [0, 5])
def test_absent_counters_are_not_measured(useful_tasks):
    costs = compute_task_costs({}, useful_tasks)
    assert costs.frames is None
    assert costs.wasted_messages is None
