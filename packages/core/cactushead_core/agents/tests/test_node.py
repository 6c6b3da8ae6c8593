"""Fault cases of the agent's reducer."""

import pytest

from cactushead_core.agents import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    TaskRef,
    UpstreamSpec,
)
from cactushead_core.agents.messages import (
    Acknowledge,
    Assign,
    CancelTasks,
    LeaseGranted,
    Outcomes,
    ReportRequested,
    StartReport,
    StopStale,
)
from cactushead_core.agents.node import AgentNode
from cactushead_core.config import AgentConfig, Bounds, Timing
from cactushead_core.documents import (
    Limits,
    RequestKind,
    Selector,
    ServiceDocument,
)
from cactushead_core.documents.messages import DocumentUpdate
from cactushead_core.effects import Drained, Send, StartRun, StopRun
from cactushead_core.events import (
    DrainRequested,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerRole,
    RunEnded,
    StopEnded,
    Tick,
    TurnEnded,
    UpstreamChecked,
)
from cactushead_core.jobs import JobId

LEADER = Peer('e0', PeerRole.ENTRY, 'e0-1')
JOB = JobId('s', 'k')
LEASE_S = 2.0


class Agent:
    """An agent that has a lease of term 3, epoch 2 at 10 s."""

    def __init__(self, **bounds):
        config = AgentConfig(
            'a0',
            'a0-1',
            'c',
            ('e0',),
            Timing(lease_s=LEASE_S),
            Bounds(**bounds),
        )
        self.now_s = 10.0
        self.node = AgentNode(config, self.now_s)
        self.feed(PeerConnected, LEADER)
        self.feed(UpstreamChecked, UpstreamSpec('a0', slots=2))
        self.receive(ReportRequested(3, 2, 'a0-1', 'e0'))
        self.receive(LeaseGranted(3, 'a0-1', 10.0, LEASE_S))

    def feed(self, event_type, *args):
        effects = self.node.reduce(event_type(self.now_s, *args))
        return effects + self.node.reduce(TurnEnded(self.now_s))

    def receive(self, message):
        return self.feed(MessageReceived, LEADER, message)

    def assign(self, index=0, start=1, **changes):
        fields = {
            'term': 3,
            'epoch': 2,
            'incarnation': 'a0-1',
            'echo_s': 10.0,
        } | changes
        task = Assignment(JOB, index, start, 'kind', 1, 5.0, b'1')
        return self.receive(Assign(tasks=(task,), **fields))

    def end(self, index=0, start=1, status=OutcomeStatus.SUCCEEDED):
        return self.feed(RunEnded, TaskOutcome(JOB, index, start, status))


def starts(effects):
    return [
        effect.assignment for effect in effects if isinstance(effect, StartRun)
    ]


def sent(effects, message_type):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, message_type)
    ]


def statuses(effects):
    return [
        outcome.status
        for message in sent(effects, Outcomes)
        for outcome in message.outcomes
    ]


def test_assignment_under_active_lease_starts():
    assert len(starts(Agent().assign())) == 1


@pytest.mark.parametrize(
    'changes',
    [
        {'term': 2, 'epoch': 9},
        {'epoch': 1},
        {'term': 4},
        {'incarnation': 'a0-0'},
    ],
)
def test_assignment_of_another_term_or_incarnation_is_ignored(changes):
    effects = Agent().assign(**changes)
    assert not starts(effects)
    assert not statuses(effects)


@pytest.mark.parametrize(
    ('now_s', 'echo_s'),
    [(12.0, 10.0), (60.0, 10.0), (11.0, 8.9)],
)
def test_assignment_outside_the_lease_is_refused(now_s, echo_s):
    agent = Agent()
    agent.now_s = now_s
    effects = agent.assign(echo_s=echo_s)
    assert not starts(effects)
    assert statuses(effects) == [OutcomeStatus.REFUSED]


def test_delayed_grant_does_not_extend_the_lease():
    agent = Agent()
    agent.now_s = 70.0
    agent.receive(LeaseGranted(3, 'a0-1', 10.5, LEASE_S))
    assert not starts(agent.assign(echo_s=10.5))


def test_lease_is_no_longer_than_the_leader_granted():
    agent = Agent()
    agent.now_s = 13.0
    agent.receive(LeaseGranted(3, 'a0-1', 13.0, 0.5))
    agent.now_s = 13.6
    assert not starts(agent.assign(echo_s=13.0))


def test_new_term_revokes_the_lease():
    agent = Agent()
    agent.receive(ReportRequested(4, 1, 'a0-1', 'e0'))
    effects = agent.assign(term=4, epoch=1)
    assert not starts(effects)
    assert statuses(effects) == [OutcomeStatus.REFUSED]


def test_duplicate_assignment_returns_the_recorded_outcome():
    agent = Agent()
    agent.assign()
    assert not starts(agent.assign())
    agent.end()
    effects = agent.assign()
    assert not starts(effects)
    assert statuses(effects) == [OutcomeStatus.SUCCEEDED]


def test_acknowledged_task_does_not_start_again():
    agent = Agent()
    agent.assign()
    agent.end()
    agent.receive(Acknowledge(3, (JOB.task_id(0),)))
    assert not starts(agent.assign())


def test_refused_placement_does_not_start_later():
    agent = Agent()
    agent.now_s = 13.0
    agent.assign()
    agent.receive(LeaseGranted(3, 'a0-1', 13.0, LEASE_S))
    assert not starts(agent.assign(echo_s=13.0))
    assert len(starts(agent.assign(start=2, echo_s=13.0))) == 1


def test_refused_placement_is_kept_while_duplicates_are_valid():
    agent = Agent()
    agent.receive(CancelTasks(3, 'a0-1', (TaskRef(JOB, 0, 1),)))
    agent.now_s = 11.9
    agent.feed(Tick)
    assert not starts(agent.assign())


def test_full_record_table_refuses_assignments():
    agent = Agent(agent_records=1)
    agent.assign()
    assert statuses(agent.assign(index=1)) == [OutcomeStatus.REFUSED]


def test_assignment_under_old_document_version_is_refused():
    agent = Agent()
    document = ServiceDocument(
        's', 2, 't', Selector(), Limits(), (RequestKind('kind'),)
    )
    agent.receive(DocumentUpdate(3, (document,)))
    older = ServiceDocument(
        's', 1, 't', Selector(), Limits(), (RequestKind('kind'),)
    )
    agent.receive(DocumentUpdate(3, (older,)))
    assert agent.node.applied_versions.version('s') == 2
    assert statuses(agent.assign()) == [OutcomeStatus.REFUSED]


def test_cancel_before_the_assignment_prevents_its_start():
    agent = Agent()
    effects = agent.receive(CancelTasks(3, 'a0-1', (TaskRef(JOB, 0, 1),)))
    assert statuses(effects) == [OutcomeStatus.REFUSED]
    assert not starts(agent.assign())


def test_cancel_of_a_running_task_stops_it():
    agent = Agent()
    agent.assign()
    effects = agent.receive(CancelTasks(3, 'a0-1', (TaskRef(JOB, 0, 1),)))
    assert StopRun(JOB.task_id(0)) in effects
    assert not statuses(effects)


def test_task_beyond_the_slots_is_queued_and_can_be_cancelled():
    agent = Agent()
    agent.assign(index=0)
    agent.assign(index=1)
    assert not starts(agent.assign(index=2))
    effects = agent.receive(CancelTasks(3, 'a0-1', (TaskRef(JOB, 2, 1),)))
    assert statuses(effects) == [OutcomeStatus.REFUSED]
    assert not starts(agent.end(index=0))


def test_queued_task_is_refused_when_the_lease_expires():
    agent = Agent()
    for index in range(3):
        agent.assign(index=index)
    agent.now_s = 12.5
    effects = agent.feed(Tick)
    assert statuses(effects) == [OutcomeStatus.REFUSED]
    assert not starts(agent.end(index=0))


def test_report_lists_every_open_record():
    agent = Agent()
    agent.assign(index=0)
    agent.assign(index=1)
    agent.end(index=1)
    (report,) = sent(
        agent.receive(ReportRequested(4, 1, 'a0-1', 'e0')), StartReport
    )
    assert [task.index for task in report.tasks] == [0, 1]


def test_report_request_of_an_older_epoch_is_ignored():
    agent = Agent()
    effects = agent.receive(ReportRequested(3, 1, 'a0-1', 'e0'))
    assert not sent(effects, StartReport)


def test_outcome_is_resent_until_acknowledged():
    agent = Agent()
    agent.assign()
    agent.end()
    agent.now_s = 30.0
    assert statuses(agent.feed(Tick)) == [OutcomeStatus.SUCCEEDED]
    agent.receive(Acknowledge(3, (JOB.task_id(0),)))
    agent.now_s = 90.0
    assert not statuses(agent.feed(Tick))


def test_stale_task_is_reported_once_its_stop_is_confirmed():
    agent = Agent()
    stale = StopStale(3, 'a0-1', (TaskRef(JOB, 5, 1),))
    effects = agent.receive(stale)
    assert StopRun(JOB.task_id(5)) in effects
    assert not statuses(agent.feed(StopEnded, JOB.task_id(5), False))
    effects = agent.feed(StopEnded, JOB.task_id(5), True)
    assert statuses(effects) == [OutcomeStatus.CANCELLED]


def test_draining_agent_refuses_tasks_and_drains_once_acknowledged():
    agent = Agent()
    agent.assign()
    assert Drained() not in agent.feed(DrainRequested)
    assert statuses(agent.assign(index=1)) == [OutcomeStatus.REFUSED]
    assert Drained() not in agent.end()
    effects = agent.receive(Acknowledge(3, (JOB.task_id(0),)))
    assert Drained() in effects
