"""Which queued runs an agent starts, and what large ones have to wait for."""

import random

import pytest
from cactushead_core.events import Peer, PeerRole
from cactushead_core.leasing.backfill import make_claim
from cactushead_core.leasing.runs import LeasedRun, Phase
from cactushead_core.leasing.start_plan import plan_starts
from cactushead_core.tasks import Resources, TaskRef

OWNER = Peer('e0', PeerRole.ENTRY, 'e0/1')
CAPACITY = Resources(8000, 1000)
NOW_S = 100.0
PLAY_S = 40.0


def make_run(number=0, *, cpu_m=1000, expected_s=1.0, **fields):
    """Returns a queued run that is on time."""
    options = {'start_by_s': NOW_S + 10 + number, **fields}
    return LeasedRun(
        OWNER,
        TaskRef(f'{number:016x}', 0, 0),
        1,
        Resources(cpu_m, 1),
        '',
        expected_s=expected_s,
        **options,
    )


def started(run, sent_s=NOW_S):
    """Returns a run that holds resources."""
    run.phase = Phase.RUNNING
    run.start_sent_s = sent_s
    return run


class Upstream:
    """Runs an agent's start decisions in virtual time.

    Attributes:
        waits_s: Time in the queue by run.
    """

    def __init__(self, plan):
        self.waits_s = {}
        self._plan = plan
        self._queued = []
        self._running = []
        self._arrived_s = {}

    def offer(self, run, actual_s, now_s):
        self._queued.append((run, actual_s))
        self._arrived_s[run.task] = now_s

    def step(self, now_s):
        self._running = [one for one in self._running if one[1] > now_s]
        running = [run for run, _ in self._running]
        free = CAPACITY
        for run in running:
            free -= run.needs
        actual_s = {run.task: length_s for run, length_s in self._queued}
        runs = [run for run, _ in self._queued]
        ordered = sorted(runs, key=lambda run: run.start_by_s)
        for run in self._plan(ordered, running, free, now_s):
            started(run, now_s)
            self.waits_s[run.task] = now_s - self._arrived_s[run.task]
            self._running.append((run, now_s + actual_s[run.task]))
            self._queued = [one for one in self._queued if one[0] is not run]


def with_claims(ordered, running, free, now_s):
    """Starts runs as an agent with claims does."""
    return plan_starts(ordered, running, free, now_s, claims=True).starts


def without_claims(ordered, running, free, now_s):
    """Starts each run that fits, as an agent without claims does."""
    return plan_starts(ordered, running, free, now_s, claims=False).starts


def play(traffic, plan=with_claims, until_s=PLAY_S):
    """Plays runs by arrival time; returns the upstream."""
    upstream = Upstream(plan)
    pending = sorted(traffic, key=lambda one: one[0])
    now_s = 0.0
    while now_s < until_s:
        while pending and pending[0][0] <= now_s:
            _, run, actual_s = pending.pop(0)
            upstream.offer(run, actual_s, now_s)
        upstream.step(now_s)
        now_s += 0.01
    return upstream


# Large runs among small ones that fill the upstream beyond its capacity.


def mixed_traffic(seed, estimate_error=0.0, tail=0.0):
    """Small runs at 1.1 times the capacity, and a large one each second."""
    rng = random.Random(seed)
    traffic = []
    for number in range(880):
        actual_s = 0.3 * (7 if rng.random() < tail else 1)
        expected_s = 0.3 * (1 + estimate_error * rng.uniform(-1, 1))
        at_s = number / 29.0
        run = make_run(number, expected_s=expected_s, start_by_s=at_s + 60)
        traffic.append((at_s, run, actual_s))
    for second in range(2, 20):
        number = 10_000 + second
        run = make_run(
            number, cpu_m=5000, expected_s=0.6, start_by_s=second + 1.0
        )
        traffic.append((float(second), run, 0.6))
    return traffic


def mean_wait_s(upstream):
    """Returns the mean wait of the large runs, the whole play if none."""
    numbers = range(10_002, 10_020)
    waits_s = [
        upstream.waits_s.get(TaskRef(f'{number:016x}', 0, 0), PLAY_S)
        for number in numbers
    ]
    return sum(waits_s) / len(waits_s)


# Guards against large runs that wait as long as small ones keep arriving,
# with exact estimates, with estimates off by 40 % and with a tail of runs
# that take seven times as long.
@pytest.mark.parametrize(
    ('error', 'tail'), [(0.0, 0.0), (0.4, 0.0), (0.4, 0.03)]
)
@pytest.mark.parametrize('seed', range(3))
def test_large_run_starts_among_small_ones(seed, error, tail):
    options = (seed, error, tail)
    before_s = mean_wait_s(play(mixed_traffic(*options), without_claims))
    after_s = mean_wait_s(play(mixed_traffic(*options)))
    assert after_s < 0.5 * before_s


# Guards against a claim that leaves room idle which others could use till then.
def test_short_runs_use_claimed_room_before_it_is_needed():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    large = make_run(2, cpu_m=6000)
    short = make_run(3, cpu_m=2000, expected_s=1.5)
    free = Resources(2000, 999)
    starts = with_claims([large, short], [long_run], free, NOW_S)
    assert starts == (short,)


def test_run_that_would_push_a_claim_back_waits():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    large = make_run(2, cpu_m=7000)
    other = make_run(3, cpu_m=2000, expected_s=3.0)
    free = Resources(2000, 999)
    assert not with_claims([large, other], [long_run], free, NOW_S)


def test_run_starts_beside_a_claim_that_leaves_room():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    large = make_run(2, cpu_m=6000)
    other = make_run(3, cpu_m=2000, expected_s=3.0)
    more = make_run(4, cpu_m=1000, expected_s=3.0)
    free = Resources(2000, 999)
    starts = with_claims([large, other, more], [long_run], free, NOW_S)
    assert starts == (other,)


# Guards against a run that holds up an agent for ever: nothing that runs there
# will make room for it.
def test_run_that_never_fits_has_no_claim():
    large = make_run(2, cpu_m=9000)
    assert make_claim(large, [], CAPACITY, NOW_S) is None
    small = make_run(3)
    assert with_claims([large, small], [], CAPACITY, NOW_S) == (small,)


# Guards against a claim that outlives its run: claims are made anew from the
# queue, so they end with their job, their entry or a cancellation.
def test_claim_ends_with_its_run():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    other = make_run(3, cpu_m=2000, expected_s=3.0)
    free = Resources(2000, 999)
    assert with_claims([other], [long_run], free, NOW_S) == (other,)


# Guards against an overdue estimate that ends a claim at once.
def test_overrunning_run_still_delays_a_claim():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0), NOW_S - 5)
    claim = make_claim(
        make_run(2, cpu_m=7000), [long_run], Resources(2000, 999), NOW_S
    )
    assert claim is not None
    assert claim.at_s > NOW_S


# Guards against two entries that claim the same room: the queue of the agent
# orders both, and only the first has a claim.
def test_second_large_run_may_not_delay_the_first():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    first = make_run(2, cpu_m=7000)
    second = make_run(3, cpu_m=2000, expected_s=5.0)
    second.owner = Peer('e1', PeerRole.ENTRY, 'e1/1')
    free = Resources(2000, 999)
    assert not with_claims([first, second], [long_run], free, NOW_S)


# Guards against a run past its deadline that delays those that can be on time.
def test_overdue_run_has_no_claim():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    overdue = make_run(2, cpu_m=7000, start_by_s=NOW_S - 1)
    other = make_run(3, cpu_m=2000, expected_s=3.0)
    free = Resources(2000, 999)
    assert with_claims([overdue, other], [long_run], free, NOW_S) == (other,)


# Guards against a task that queues behind a claim although its entry expects
# it to start at once.
def test_run_that_may_not_wait_is_rejected_behind_a_claim():
    long_run = started(make_run(1, cpu_m=6000, expected_s=2.0))
    large = make_run(2, cpu_m=7000)
    other = make_run(3, cpu_m=2000, expected_s=3.0, may_wait=False)
    free = Resources(2000, 999)
    plan = plan_starts([large, other], [long_run], free, NOW_S, claims=True)
    assert plan.rejected == (other,)
    assert plan.held_back == 1
