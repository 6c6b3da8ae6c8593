"""Tests of metrics and of the observer."""

import json
import logging
import subprocess
import sys
from dataclasses import dataclass

from cactushead_core.effects import Count, EventKind, Measure, Record
from cactushead_core.jobs import JobId
from cactushead_core.observability import TimelineFilter
from prometheus_client.parser import text_string_to_metric_families

from cactushead_node.observability import ProcessObserver, Timeline
from cactushead_node.observability.metrics import Metrics
from cactushead_node.observability.metrics_recorder import (
    MAX_LABELS,
    OTHER_LABEL,
)


@dataclass
class Links:
    sent_frames: int = 3


def make_metrics():
    metrics = Metrics('e1')
    metrics.add_source('links', Links)
    metrics.add_source('state', Links, gauges=True)
    for number in range(1, 1001):
        metrics.measure(Measure('run_s', number / 1000))
    metrics.count(Count('refusals', 'queue "full"\n', 2))
    metrics.count(Count('turns'))
    return metrics


def parse_samples(metrics):
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(metrics.to_text().decode())
        for sample in family.samples
    }


def test_json_has_percentiles_and_counters():
    content = json.loads(make_metrics().to_json())
    run = content['durations']['run_s']
    assert run['count'] == 1000
    assert 0.5 <= run['p50'] <= 0.505
    assert 0.99 <= run['p99'] <= 1.0
    assert run['p99'] <= run['p999'] <= 1.01
    assert run['max'] == 1.0
    assert content['counters']['refusals'] == {'queue "full"\n': 2}
    assert content['links'] == {'sent_frames': 3}


def test_text_format_can_be_parsed():
    samples = parse_samples(make_metrics())
    assert samples[('cactushead_run_seconds_count',)] == 1000
    assert samples[('cactushead_run_seconds_bucket', '+Inf')] == 1000
    assert 495 <= samples[('cactushead_run_seconds_bucket', '0.5')] <= 505
    assert samples[('cactushead_refusals_total', 'queue "full"\n')] == 2
    assert samples[('cactushead_turns_total', '')] == 1
    assert samples[('cactushead_links_sent_frames_total',)] == 3
    assert samples[('cactushead_state_sent_frames',)] == 3


def test_metrics_without_measurements():
    metrics = Metrics('e1')
    assert json.loads(metrics.to_json())['durations'] == {}
    assert metrics.to_text() == b''


def test_extreme_durations_are_clamped():
    metrics = Metrics('e1')
    for duration_s in (-1.0, 0.0, 1e9):
        metrics.measure(Measure('run_s', duration_s))
    summary = json.loads(metrics.to_json())['durations']['run_s']
    assert (summary['count'], summary['max']) == (3, 3600)


def test_number_of_labels_is_limited():
    metrics = Metrics('e1')
    for number in range(2 * MAX_LABELS):
        metrics.count(Count('callers', str(number)))
    amounts = metrics.counters['callers'].amounts
    assert len(amounts) == MAX_LABELS + 1
    assert amounts[OTHER_LABEL] == MAX_LABELS


def test_observer_logs_only_events_marked_as_logged(caplog):
    timeline = Timeline('e1')
    observer = ProcessObserver('entry', timeline, Metrics('e1'))
    with caplog.at_level(logging.INFO, 'cactushead.entry'):
        observer.record(Record(EventKind.ADMITTED, JobId('s', 'k')))
        observer.record(
            Record(EventKind.LEADER_ELECTED, subject='100%s', logged=True)
        )
    assert caplog.messages == ['leader elected: 100%s']
    assert len(timeline.select(TimelineFilter())) == 2


def test_observability_of_an_agent_imports_no_histograms():
    program = (
        'import sys, cactushead_node.observability; '
        'heavy = {"hdrh", "prometheus_client", "pydantic", "hypercorn"}; '
        'sys.exit(bool(heavy & set(sys.modules)))'
    )
    subprocess.run([sys.executable, '-c', program], check=True)
