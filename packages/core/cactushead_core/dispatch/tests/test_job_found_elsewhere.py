"""A job that another entry gave up for the crashes of its upstreams."""

from cactushead_core.dispatch import BestEffortSubmitted, Dispatcher
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.effects import Effect, Respond
from cactushead_core.tasks import (
    BestEffortJob,
    CrashingJobFound,
    JobEnd,
    JobStep,
    Resources,
)

JOB = BestEffortJob(
    '1', 'q', 's', '', (JobStep(1, Resources(cpu_m=1000), 0.3),)
)


# Guards against more crashes by a job that its caller has sent to a second
# entry, which hears of few agents, while the first one gives it up.
def test_open_job_ends_when_another_entry_gives_it_up():
    dispatcher = Dispatcher(DispatchSettings())
    effects: list[Effect] = []
    dispatcher.on_submitted(BestEffortSubmitted(1.0, 7, JOB), effects)
    assert effects == []
    found = CrashingJobFound('1', 'q', ('u1', 'u2'))
    assert dispatcher.crashing_jobs.found_elsewhere(found, 1.1, effects)
    responses = [one for one in effects if isinstance(one, Respond)]
    assert [one.request_id for one in responses] == [7]
    assert responses[0].response.end is JobEnd.FAILED
    assert dispatcher.state('1') is JobEnd.FAILED
    assert not dispatcher.crashing_jobs.found_elsewhere(found, 1.2, effects)
