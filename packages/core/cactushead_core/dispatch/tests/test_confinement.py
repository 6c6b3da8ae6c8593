"""Confined queues: which agents run their jobs."""

from cactushead_core.dispatch.agent_view import AgentView
from cactushead_core.dispatch.containment import CrashContainment
from cactushead_core.tasks import (
    BestEffortJob,
    JobStep,
    Resources,
    UpstreamReport,
)

AGENT_COUNT = 20
LARGE = Resources(cpu_m=8000)
NO_UPSTREAM = UpstreamReport(2, '', False, Resources(), (), ())


def views():
    """Returns agents of which every fourth has a label."""
    return [
        AgentView(
            f'a{number}',
            connected=True,
            session=1,
            service='s',
            ready=True,
            capacity=LARGE,
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


def select(containment, queue, known, label=''):
    job = job_of(queue, label)
    return containment.select_agents(job, job.steps[0], known)


def names(agents):
    return {view.name for view in agents}


# Guards against confining a queue to agents that can't run its jobs.
def test_job_that_requires_a_label_gets_agents_with_it():
    agents = select(confined('q'), 'q', views(), 'gpu')
    assert agents
    assert all('gpu' in view.labels for view in agents)


# Guards against exposing another agent after each crash of a confined queue.
def test_agents_whose_upstreams_are_down_keep_their_place():
    containment = confined('q')
    known = views()
    before = names(select(containment, 'q', known))
    for view in known:
        if view.name in before:
            view.start_session(NO_UPSTREAM)
    assert names(select(containment, 'q', known)) == before


def test_other_queues_use_the_other_agents():
    containment = confined('q')
    known = views()
    inside = names(select(containment, 'q', known))
    outside = names(select(containment, 'other', known))
    assert inside | outside == names(known)
    assert not inside & outside


# Guards against refusing jobs of an unconfined queue that only the agents of
# confined ones can run.
def test_other_queue_uses_the_only_agents_with_its_label():
    containment = confined('q')
    known = views()
    inside = names(select(containment, 'q', known))
    for view in known:
        view.labels = ('gpu',) if view.name in inside else ()
    assert names(select(containment, 'other', known, 'gpu')) >= inside


# Guards against refusing jobs of a confined queue for the size of the first
# agents by hash.
def test_confined_queue_gets_agents_that_are_large_enough():
    containment = confined('q')
    known = views()
    for view in known:
        large = view.name not in names(select(containment, 'q', views()))
        view.capacity = LARGE if large else Resources(cpu_m=500)
    agents = select(containment, 'q', known)
    assert agents
    assert all(view.capacity == LARGE for view in agents)


# Guards against demanding the labels of all steps from each agent.
def test_steps_with_other_labels_get_other_agents():
    containment = confined('q')
    known = views()
    for view in known:
        view.labels = ('gpu',) if int(view.name[1:]) % 2 else ('disk',)
    for label in ('gpu', 'disk'):
        agents = select(containment, 'q', known, label)
        assert agents
        assert all(label in view.labels for view in agents)
