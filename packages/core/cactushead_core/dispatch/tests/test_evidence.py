"""What an entry logs when a task may be started twice."""

import pytest
from cactushead_core.dispatch import BestEffortSubmitted
from cactushead_core.dispatch.dispatcher import Dispatcher
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.effects import Count, Record
from cactushead_core.events import Peer, PeerRole
from cactushead_core.tasks import (
    BestEffortJob,
    JobStep,
    Resources,
    RunEnd,
    RunResult,
    RunsEnded,
    TaskRef,
    UpstreamReport,
)

AGENT = Peer('a1', PeerRole.AGENT, 'a1/1')
TASK = TaskRef('j1', 0, 0)
DONE = RunResult(TASK, 1, RunEnd.DONE, 0.3, '')


def make_job(count=1):
    step = JobStep(count, Resources(1000, 1), 0.3)
    return BestEffortJob('j1', 'q', 's1', '', (step,), max_starts=3)


class Entry:
    """A dispatcher with one agent, and its records and counts."""

    def __init__(self):
        self.effects = []
        self.dispatcher = Dispatcher(DispatchSettings())
        self.connect(1)

    @property
    def lines(self):
        return [
            f'{one.kind} {one.subject} {one.detail}'
            for one in self.effects
            if isinstance(one, Record)
        ]

    @property
    def counts(self):
        return [
            f'{one.metric} {one.label}'
            for one in self.effects
            if isinstance(one, Count)
        ]

    def connect(self, session, *held):
        self.dispatcher.agents.connected(AGENT)
        self.report(session, *held)

    def report(self, session, *held):
        capacity = Resources(8000, 1000)
        report = UpstreamReport(session, 's1', True, capacity, (), held)
        self.dispatcher.on_upstream_report(AGENT, report, 2.0, self.effects)

    def submit(self, request_id, now_s, count=1):
        event = BestEffortSubmitted(now_s, request_id, make_job(count))
        self.dispatcher.on_submitted(event, self.effects)

    def end(self, run_result, now_s=1.5):
        ended = RunsEnded((run_result,))
        self.dispatcher.on_runs_ended(AGENT, ended, now_s, self.effects)

    def hang_up(self, request_id, now_s):
        self.dispatcher.on_caller_disconnected(request_id, now_s, self.effects)


# Guards against logs that cost processor time while nothing goes wrong.
def test_calm_job_logs_nothing():
    entry = Entry()
    entry.submit(7, 1.0)
    entry.end(DONE)
    entry.hang_up(7, 2.0)
    assert entry.lines == []
    assert entry.counts == ['jobs completed']


# Guards against a job that arrives twice at one entry without a trace.
def test_job_that_is_sent_again_is_logged():
    entry = Entry()
    entry.submit(7, 1.0)
    entry.submit(8, 2.25)
    entry.hang_up(7, 2.5)
    entry.end(DONE)
    entry.submit(9, 4.0)
    assert entry.lines == [
        'job sent again j1 open for 1.250 s, 2 callers wait; j1.0.0/1 at a1',
        'caller left j1 1 callers wait',
        'job sent again j1 completed',
    ]
    assert 'jobs_sent_again open' in entry.counts
    assert 'jobs_sent_again completed' in entry.counts


# Guards against an end of a job that leaves its runs to the agents unseen: the
# caller may send it to another entry before they stop.
def test_job_given_up_with_runs_is_logged():
    entry = Entry()
    entry.submit(7, 1.0, count=2)
    entry.hang_up(7, 2.302)
    assert entry.lines == [
        'job given up j1 caller hung up, open for 1.302 s;'
        ' told to stop: j1.0.0/1 at a1; j1.0.1/1 at a1',
    ]
    assert 'stopped_jobs caller hung up' in entry.counts


# Guards against a line of a large job that grows without bound.
def test_long_lists_of_runs_are_cut():
    entry = Entry()
    entry.submit(7, 1.0, count=30)
    entry.hang_up(7, 2.0)
    assert entry.lines[0].count(' at a1') == 20
    assert entry.lines[0].endswith('; and 10 more')


# Guards against tasks that are placed again on evidence that no line shows.
@pytest.mark.parametrize(
    ('report', 'earlier_session', 'end'),
    [(Entry.report, 1, 'returned'), (Entry.connect, 0, 'lost')],
)
def test_evidence_of_a_placement_elsewhere(report, earlier_session, end):
    entry = Entry()
    entry.submit(7, 1.0)
    report(entry, 2)
    assert entry.lines == [
        f'tasks not reported a1 session 2 after {earlier_session},'
        ' 1 tasks: j1.0.0',
        f'run ended j1.0.0 run 1 at a1: {end} not at the agent',
    ]


# Guards against an agent that is given up, and its tasks with it, without a
# line that says for how long it had no link.
def test_agent_given_up_is_logged():
    entry = Entry()
    entry.submit(7, 1.0)
    entry.dispatcher.agents.lost(AGENT, 2.0)
    entry.dispatcher.tick(5.0, entry.effects)
    assert entry.lines == [
        'agent given up a1 without a link for 3.000 s, session 1,'
        ' 1 tasks: j1.0.0',
        'run ended j1.0.0 run 1 at a1: lost agent lost',
    ]


# Guards against runs that an agent still has of a job that is over here.
def test_unexpected_tasks_are_logged():
    entry = Entry()
    entry.connect(2, TASK)
    assert entry.lines == [
        'unexpected tasks reported a1 session 2, 1 tasks: j1.0.0'
    ]


# Guards against a run that the owner counted as ended and that went on: its
# result shows it.
@pytest.mark.parametrize(
    ('number', 'cause'),
    [(1, 'run 2 at a1'), (3, 'run 2 at a1')],
)
def test_result_of_another_run_is_logged(number, cause):
    entry = Entry()
    entry.submit(7, 1.0)
    entry.end(RunResult(TASK, 1, RunEnd.NO_CAPACITY, 0.0, ''))
    entry.end(RunResult(TASK, number, RunEnd.DONE, 0.3, ''))
    assert entry.lines == [
        f'result ignored j1.0.0 run {number} at a1: done after 0.300 s; {cause}'
    ]
    assert 'tasks result ignored' in entry.counts


# Guards against a run that completes although its job was given up: the stop
# came too late. That a run was stopped as told needs no line here.
@pytest.mark.parametrize(
    ('end', 'lines'),
    [
        (RunEnd.STOPPED, []),
        (
            RunEnd.DONE,
            [
                'result ignored j1.0.0 run 1 at a1: done after 0.300 s;'
                ' job unknown or given up'
            ],
        ),
    ],
)
def test_late_result_of_a_job_given_up(end, lines):
    entry = Entry()
    entry.submit(7, 1.0)
    entry.hang_up(7, 1.2)
    entry.end(RunResult(TASK, 1, end, 0.3, ''))
    assert entry.lines[1:] == lines
