"""What a dispatcher places after a pause of its process."""

from cactushead_core.dispatch import BestEffortSubmitted
from cactushead_core.dispatch.dispatcher import Dispatcher
from cactushead_core.dispatch.job_placer import UNREAD_TICKS
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.effects import Send
from cactushead_core.events import Peer, PeerRole
from cactushead_core.tasks import (
    BestEffortJob,
    JobStep,
    Resources,
    UpstreamReport,
)

AGENT = Peer('a1', PeerRole.AGENT, 'a1/1')


def make_dispatcher():
    dispatcher = Dispatcher(DispatchSettings())
    dispatcher.agents.connected(AGENT)
    report = UpstreamReport(1, 's1', True, Resources(8000, 1000), (), ())
    dispatcher.on_upstream_report(AGENT, report, 1.0, [])
    return dispatcher


def submit(dispatcher, now_s):
    step = JobStep(1, Resources(1000, 1), 0.3)
    job = BestEffortJob('j1', 'q', 's1', '', (step,), max_starts=3)
    effects = []
    dispatcher.on_submitted(BestEffortSubmitted(now_s, 7, job), effects)
    return effects


def tick(dispatcher, now_s):
    effects = []
    dispatcher.tick(now_s, effects)
    return [one for one in effects if isinstance(one, Send)]


# Guards against a retry that places a task after a pause before it is read
# whether the caller has left meanwhile.
def test_retry_waits_for_the_last_unread_tick():
    dispatcher = make_dispatcher()
    dispatcher.resumed()
    assert submit(dispatcher, 2.0) == []
    early = [tick(dispatcher, 2.05) for _ in range(UNREAD_TICKS - 1)]
    assert not any(early)
    assert tick(dispatcher, 2.1)


# Guards against a job that is started although its caller left in the pause.
def test_job_whose_caller_left_is_never_placed():
    dispatcher = make_dispatcher()
    dispatcher.resumed()
    submit(dispatcher, 2.0)
    effects = []
    dispatcher.on_caller_disconnected(7, 2.05, effects)
    assert not any(isinstance(one, Send) for one in effects)
    assert not any(tick(dispatcher, 2.1) for _ in range(UNREAD_TICKS + 1))
    assert dispatcher.idle
