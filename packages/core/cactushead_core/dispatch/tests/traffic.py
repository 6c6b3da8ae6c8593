"""Synthetic traffic of three kinds of jobs, and its goodput."""

import random
from dataclasses import dataclass

from cactushead_core.dispatch.responses import BestEffortEnded
from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.tasks import BestEffortJob, JobEnd, JobStep, Resources

SLACK_FACTOR = 1.6
LATENCY_S = 0.06
CALLER_TIMEOUT_S = 10.0
# A completion within three times the objective is late and counts a fifth.
LATE_FACTOR = 3.0
LATE_CREDIT = 0.2
# Maximum relative error of the estimates, equal for all tasks of a job.
ESTIMATE_ERROR = 0.4


@dataclass(frozen=True)
class Kind:
    """A kind of job.

    Attributes:
        queue: Name of the queue.
        share: Share of this kind among the jobs.
        count: Number of tasks.
        run_s: Mean run time of a task.
    """

    queue: str
    share: float
    count: int
    run_s: float

    @property
    def work_s(self) -> float:
        """Core-seconds of a job whose tasks use one core each."""
        return self.count * self.run_s


KINDS = (
    Kind('quick', 0.245, 8, 0.12),
    Kind('slow', 0.044, 4, 1.8),
    Kind('usual', 0.711, 2, 0.4),
)


@dataclass
class SentJob:
    """A submitted job.

    Attributes:
        kind: The kind of job.
        number: Number of the request.
        at_s: Time of submission.
        run_s: Actual run time of each task.
    """

    kind: Kind
    number: int
    at_s: float
    run_s: float


def send_traffic(world, duration_s, load, seed=1, crashing=None):
    """Submits jobs to random entries at a given load.

    Args:
        world: A fleet that is ready to serve.
        duration_s: Duration of the traffic.
        load: Arriving work per second, relative to the fleet's capacity.
        seed: Seed of arrivals, kinds and run times.
        crashing: Share of jobs that crash their upstreams, by queue.

    Returns:
        The submitted jobs.
    """
    rng = random.Random(seed)
    crash_rng = random.Random(seed)
    capacity_cores = sum(
        process.upstream.capacity.cpu_m / 1000
        for process in world.processes.values()
        if process.upstream is not None
    )
    work_s = sum(kind.share * kind.work_s for kind in KINDS)
    jobs_per_s = load * capacity_cores / work_s
    entries = [name for name in world.processes if name.startswith('e')]
    until_s = world.now_s + duration_s
    sent_jobs = []
    while world.now_s < until_s:
        kind = rng.choices(KINDS, [one.share for one in KINDS])[0]
        run_s = kind.run_s * rng.uniform(0.5, 1.5)
        error = 1 + ESTIMATE_ERROR * rng.uniform(-1, 1)
        step = JobStep(kind.count, Resources(1000, 1), run_s * error)
        job = BestEffortJob(
            f'{seed:04x}{len(sent_jobs):012x}',
            kind.queue,
            'sample',
            str(run_s),
            (step,),
            max_starts=4,
            slack_factor=SLACK_FACTOR,
            latency_s=LATENCY_S,
            caller_timeout_s=CALLER_TIMEOUT_S,
        )
        if crash_rng.random() < (crashing or {}).get(kind.queue, 0):
            world.history.crashing_jobs.add(job.job)
        number = world.send(rng.choice(entries), job)
        sent_jobs.append(SentJob(kind, number, world.now_s, run_s))
        world.run(rng.expovariate(jobs_per_s))
    return sent_jobs


def goodput(world, sent_jobs):
    """Returns the completed share of the submitted work, late jobs discounted.

    Args:
        world: The fleet, some time after the last submission.
        sent_jobs: The submitted jobs.
    """
    submitted_s = sum(one.kind.work_s for one in sent_jobs)
    credited_s = sum(one.kind.work_s * _credit(world, one) for one in sent_jobs)
    return credited_s / submitted_s


def refused_share(world, sent_jobs):
    """Returns the share of the submitted jobs that were refused."""
    ends = [job_end(world, one) for one in sent_jobs]
    return ends.count(JobEnd.REFUSED) / len(ends)


def warmed_up_world(**options):
    """Returns a running fleet with estimates from low traffic."""
    world = FleetSimulation(**options)
    world.run(5)
    send_traffic(world, 5.0, load=0.5, seed=99)
    world.run(3)
    return world


def job_end(world, one):
    """Returns the final state of a submitted job, None without an answer."""
    answer = world.responses.get(one.number)
    return answer.end if isinstance(answer, BestEffortEnded) else None


def _credit(world, one):
    if job_end(world, one) is not JobEnd.COMPLETED:
        return 0.0
    response_s = world.response_times_s[one.number] - one.at_s
    objective_s = SLACK_FACTOR * one.run_s + LATENCY_S
    if response_s <= objective_s:
        return 1.0
    return LATE_CREDIT if response_s <= LATE_FACTOR * objective_s else 0.0
