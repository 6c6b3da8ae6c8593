"""Confined queues: which agents run their jobs."""

from cactushead_core.dispatch.agent_view import AgentView
from cactushead_core.dispatch.containment import CrashContainment
from cactushead_core.tasks import BestEffortJob, JobStep, Resources

AGENT_COUNT = 20


def views():
    """Returns agents of which every fourth has a label."""
    return [
        AgentView(
            f'a{number}',
            connected=True,
            session=1,
            service='s',
            last_service='s',
            ready=True,
            labels=('gpu',) if number % 4 == 0 else (),
        )
        for number in range(AGENT_COUNT)
    ]


def job_of(queue, label=''):
    step = JobStep(1, Resources(cpu_m=1000), 0.3, required_label=label)
    return BestEffortJob('1', queue, 's', '', (step,))


def confined(queue):
    containment = CrashContainment(retention_s=10.0)
    for job in ('1', '2'):
        containment.job_given_up(job, queue, now_s=1.0)
    return containment


def names(agents):
    return {view.name for view in agents}


# Guards against confining a queue to agents that can't run its jobs.
def test_job_that_requires_a_label_gets_agents_with_it():
    agents = confined('q').select_agents(job_of('q', 'gpu'), views())
    assert agents
    assert all('gpu' in view.labels for view in agents)


# Guards against exposing another agent after each crash of a confined queue.
def test_agents_whose_upstreams_are_down_keep_their_place():
    containment = confined('q')
    known = views()
    before = names(containment.select_agents(job_of('q'), known))
    for view in known:
        if view.name in before:
            view.service, view.ready = '', False
    assert names(containment.select_agents(job_of('q'), known)) == before


def test_other_queues_use_the_other_agents():
    containment = confined('q')
    known = views()
    inside = names(containment.select_agents(job_of('q'), known))
    outside = names(containment.select_agents(job_of('other'), known))
    assert inside | outside == names(known)
    assert not inside & outside
