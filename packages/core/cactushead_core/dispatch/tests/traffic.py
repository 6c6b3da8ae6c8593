"""Traffic of three kinds of jobs, and what their callers make of it."""

import random
from dataclasses import dataclass

from cactushead_core.dispatch.responses import BestEffortEnded
from cactushead_core.fleet.tests.world import World
from cactushead_core.tasks import BestEffortJob, JobEnd, JobStep, Resources

SLACK_FACTOR = 1.6
LATENCY_S = 0.06
PATIENCE_S = 10.0
# An end within three times the objective is late, and worth a fifth.
LATE_FACTOR = 3.0
LATE_WORTH = 0.2
# Declared times are off by up to that share, the same for all tasks of a job.
ESTIMATE_ERROR = 0.4


@dataclass(frozen=True)
class Kind:
    """A kind of job.

    Attributes:
        queue: Its queue.
        share: Share of the jobs.
        count: Number of tasks.
        run_s: Mean run time of a task.
    """

    queue: str
    share: float
    count: int
    run_s: float

    @property
    def work_s(self) -> float:
        """Core-seconds of a job whose tasks take a core each."""
        return self.count * self.run_s


KINDS = (
    Kind('quick', 0.245, 8, 0.12),
    Kind('slow', 0.044, 4, 1.8),
    Kind('usual', 0.711, 2, 0.4),
)


@dataclass
class Sent:
    """A job that was sent.

    Attributes:
        kind: Its kind.
        number: Number of the request.
        at_s: When it was sent.
        run_s: True run time of its tasks.
    """

    kind: Kind
    number: int
    at_s: float
    run_s: float


def send_traffic(world, duration_s, load, seed=1):
    """Sends jobs to all entries in turn, at a share of the fleet's room.

    Args:
        world: A fleet that is formed.
        duration_s: How long.
        load: Work that comes a second, as a share of what the room can do.
        seed: Seed of arrivals, kinds and run times.

    Returns:
        The jobs.
    """
    chance = random.Random(seed)
    room = sum(
        process.upstream.capacity.cpu_m / 1000
        for process in world.processes.values()
        if process.upstream is not None
    )
    work_s = sum(kind.share * kind.work_s for kind in KINDS)
    per_s = load * room / work_s
    entries = [name for name in world.processes if name.startswith('e')]
    until_s = world.now_s + duration_s
    sent = []
    while world.now_s < until_s:
        kind = chance.choices(KINDS, [one.share for one in KINDS])[0]
        run_s = kind.run_s * chance.uniform(0.5, 1.5)
        error = 1 + ESTIMATE_ERROR * chance.uniform(-1, 1)
        step = JobStep(kind.count, Resources(1000, 1), run_s * error)
        job = BestEffortJob(
            f'{seed:04x}{len(sent):012x}',
            kind.queue,
            'sample',
            str(run_s),
            (step,),
            max_starts=4,
            slack_factor=SLACK_FACTOR,
            latency_s=LATENCY_S,
            caller_timeout_s=PATIENCE_S,
        )
        number = world.send(chance.choice(entries), job)
        sent.append(Sent(kind, number, world.now_s, run_s))
        world.run(chance.expovariate(per_s))
    return sent


def worth(world, sent):
    """Returns the worth of the answers as a share of the work asked for.

    Args:
        world: The fleet, some time after the last job was sent.
        sent: The jobs.
    """
    owed = sum(one.kind.work_s for one in sent)
    earned = sum(one.kind.work_s * _credit(world, one) for one in sent)
    return earned / owed


def refused(world, sent):
    """Returns the share of the jobs that were refused."""
    ends = [_end(world, one) for one in sent]
    return ends.count(JobEnd.REFUSED) / len(ends)


def formed_world(**options):
    """Returns a fleet that has seen some calm traffic."""
    world = World(**options)
    world.run(5)
    send_traffic(world, 5.0, load=0.5, seed=99)
    world.run(3)
    return world


def _end(world, one):
    answer = world.answers.get(one.number)
    return answer.end if isinstance(answer, BestEffortEnded) else None


def _credit(world, one):
    if _end(world, one) is not JobEnd.COMPLETED:
        return 0.0
    took_s = world.answered_s[one.number] - one.at_s
    objective_s = SLACK_FACTOR * one.run_s + LATENCY_S
    if took_s <= objective_s:
        return 1.0
    return LATE_WORTH if took_s <= LATE_FACTOR * objective_s else 0.0
