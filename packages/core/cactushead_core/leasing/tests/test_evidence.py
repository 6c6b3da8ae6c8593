"""What an agent logs of runs whose end no list shows."""

from cactushead_core.events import Peer, PeerRole
from cactushead_core.leasing.outbox import Outbox
from cactushead_core.leasing.runs import LeasedRun, RunTable
from cactushead_core.leasing.sessions import Sessions
from cactushead_core.tasks import Resources, RunEnd, TaskRef

OWNER = Peer('e0', PeerRole.ENTRY, 'e0/1')


def end_runs(count, end):
    """Returns the effects of a turn in which started runs end."""
    runs = RunTable()
    outbox = Outbox(runs)
    for index in range(count):
        task = TaskRef('j1', 0, index)
        needs = Resources(1000, 1)
        run = LeasedRun(OWNER, task, 1, needs, '', 9.0, 0.3, session=4)
        runs.add(run)
        runs.mark_started(run, 1.0)
        outbox.finish(run, end, 1.5, 'lease lapsed')
    sessions = Sessions(runs, 0, 0.1)
    sessions.connected(OWNER)
    effects = []
    outbox.send(sessions, effects)
    return effects


# Guards against a line for each run of a full upstream that is lost.
def test_turn_logs_a_bounded_number_of_ends():
    *records, more, send = end_runs(30, RunEnd.LEASE_EXPIRED)
    assert len(records) == 20
    assert (records[0].kind, records[0].subject) == (
        'run end concluded',
        'j1.0.0',
    )
    assert records[0].detail == (
        'run 1 of e0 in session 4: lapsed, lease lapsed; start call 0.500 s ago'
    )
    assert (more.kind, more.detail) == ('more runs ended', '10 runs')
    assert len(send.message.results) == 30


# Guards against lines of runs that end by themselves.
def test_runs_that_end_by_themselves_are_not_logged():
    for end in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED):
        assert len(end_runs(5, end)) == 1
