"""Builders of scheduler inputs with short defaults, for tests."""

from cactushead_core.agents import OutcomeStatus, TaskOutcome, UpstreamSpec
from cactushead_core.documents import (
    Limits,
    RequestKind,
    Selector,
    ServiceDocument,
)
from cactushead_core.jobs import JobId, JobRequest, TaskSpec
from cactushead_core.scheduling import QueuedTask


def document(service='s', *, team='team', limits=None, kinds=None, **fields):
    return ServiceDocument(
        service,
        fields.pop('version', 1),
        team,
        fields.pop('upstreams', Selector()),
        limits or Limits(),
        kinds or (RequestKind('k'),),
        **fields,
    )


def spec(name, **fields):
    return UpstreamSpec(name, **fields)


def request(tasks=1, *, service='s', key='j', caller='c', size=(0.0, 0.0)):
    specs = tuple(TaskSpec(b'1', *size) for _ in range(tasks))
    return JobRequest(JobId(service, key), caller, 'k', 60.0, specs)


def task(key='j', index=0, *, service='s', caller='c', **fields):
    return QueuedTask(
        JobId(service, key),
        index,
        fields.get('start', 1),
        fields.get('team', 'team'),
        caller,
        fields.get('kind', 'k'),
        fields.get('cores', 0.0),
        fields.get('memory_mb', 0.0),
        fields.get('queued_s', 0.0),
        fields.get('deadline_s', 60.0),
    )


def outcome(ended, status=OutcomeStatus.SUCCEEDED, run_s=0.1):
    return TaskOutcome(ended.job, ended.index, ended.start, status, run_s=run_s)
