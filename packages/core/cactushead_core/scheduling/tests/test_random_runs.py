"""Stateful property tests: random operations violate no invariant."""

import os

from cactushead_core.agents import OutcomeStatus
from cactushead_core.documents import Limits, Selector
from cactushead_core.documents.model import Label
from cactushead_core.scheduling import (
    FairOrder,
    RandomPlacement,
    Scheduler,
    SpreadPlacement,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from .builders import document, outcome, spec, task

SERVICES = {'s0': 'team0', 's1': 'team0', 's2': 'team1'}
UPSTREAMS = tuple(f'u{number}' for number in range(5))
SIZES = st.sampled_from([0.0, 1.0, 4.0, 9.0, -1.0, float('nan')])
SELECTORS = (Selector(), Selector(labels=(Label('tier', 'a'),)))
SHORT = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40,
)  # fmt: skip


class SchedulerMachine(RuleBasedStateMachine):
    """Applies random operations to a scheduler and a model of its tasks."""

    @initialize(spread=st.booleans(), depth=st.integers(0, 2))
    def begin(self, spread, depth):
        placement = SpreadPlacement('dc') if spread else RandomPlacement(1)
        self.scheduler = Scheduler(FairOrder, placement, queue_depth=depth)
        self.depth, self.now_s, self.jobs = depth, 0.0, 0
        self.waiting, self.running, self.occupied = {}, {}, set()
        self.specs, self.available = {}, set()
        for service in SERVICES:
            self.set_document(service, Limits(), SELECTORS[0])

    @rule(
        service=st.sampled_from(sorted(SERVICES)),
        limits=st.builds(
            Limits,
            concurrent_tasks=st.integers(1, 20),
            starts_per_s=st.sampled_from([0.0, 0.0, 5.0]),
        ),
        selector=st.sampled_from(SELECTORS),
    )
    def set_document(self, service, limits, selector):
        team = SERVICES[service]
        new = document(service, team=team, limits=limits, upstreams=selector)
        self.documents = {**getattr(self, 'documents', {}), service: new}
        self.scheduler.set_document(new, self.now_s)

    @rule(
        name=st.sampled_from(UPSTREAMS),
        slots=st.integers(1, 6),
        cores=st.sampled_from([2.0, 8.0]),
        labels=st.sampled_from([(), (Label('tier', 'a'),)]),
        available=st.booleans(),
    )
    def announce(self, name, slots, cores, labels, available):
        new = spec(name, slots=slots, cores=cores, labels=labels)
        self.specs[name] = new
        self.available -= {name}
        self.available |= {name} if available else set()
        self.scheduler.set_upstream(new, available=available, now_s=self.now_s)

    @rule(name=st.sampled_from(UPSTREAMS), gone=st.booleans())
    def lose(self, name, gone):
        self.available.discard(name)
        if gone:
            self.specs.pop(name, None)
            self.scheduler.remove_upstream(name)
            for task_id in [t for t, p in self.running.items() if p[1] == name]:
                self.running.pop(task_id)
        else:
            self.scheduler.set_unavailable(name, self.now_s)

    @rule(
        service=st.sampled_from(sorted(SERVICES)),
        caller=st.sampled_from('abc'),
        sizes=st.lists(SIZES, min_size=1, max_size=8),
        copies=st.sampled_from([1, 1, 1, 40]),
    )
    def enqueue(self, service, caller, sizes, copies):
        self.jobs += 1
        for index, cores in enumerate(
            sizes[:2] * copies if copies > 1 else sizes
        ):
            added = task(
                f'j{self.jobs}', index, service=service, caller=caller,
                cores=cores, team=SERVICES[service], queued_s=self.now_s,
            )  # fmt: skip
            self.waiting[added.task_id] = added
            self.scheduler.enqueue(added)

    @rule(name=st.sampled_from(UPSTREAMS), caller=st.sampled_from('abc'))
    def add_running(self, name, caller):
        self.jobs += 1
        added = task(f'o{self.jobs}', service='s0', caller=caller, team='team0')
        self.running[added.task_id] = (added, name)
        self.occupied.add(name)
        self.specs.setdefault(name, spec(name))
        self.scheduler.add_running(added, name)

    @rule(passed_s=st.sampled_from([0.0, 0.01, 0.3, 3.0]))
    def place(self, passed_s):
        self.now_s += passed_s
        for placed in self.scheduler.place(self.now_s):
            assert self.waiting.pop(placed.task.task_id) is placed.task
            service = placed.task.job.service
            assert placed.upstream in self.available
            selector = self.documents[service].upstreams
            assert set(selector.labels) <= set(
                self.specs[placed.upstream].labels
            )
            self.running[placed.task.task_id] = (placed.task, placed.upstream)
            of_service = [
                running
                for running, _ in self.running.values()
                if running.job.service == service
            ]
            limit = self.documents[service].limits.concurrent_tasks
            assert len(of_service) <= limit
            self.check_allocations(placed.upstream)

    @precondition(lambda self: self.running)
    @rule(choice=st.integers(0), status=st.sampled_from(list(OutcomeStatus)))
    def end(self, choice, status):
        task_id = sorted(self.running)[choice % len(self.running)]
        ended, name = self.running.pop(task_id)
        run_s = 0.1 if choice % 3 else float('nan')
        self.scheduler.task_ended(
            name, outcome(ended, status, run_s), self.now_s,
        )  # fmt: skip

    @precondition(lambda self: self.running)
    @rule(choice=st.integers(0))
    def return_task(self, choice):
        task_id = sorted(self.running)[choice % len(self.running)]
        returned, name = self.running.pop(task_id)
        self.scheduler.task_returned(name, task_id)
        if task_id.startswith('s'):
            self.waiting[task_id] = returned
            self.scheduler.enqueue(returned)

    @precondition(lambda self: self.waiting)
    @rule(choice=st.integers(0))
    def cancel(self, choice):
        ids = sorted(self.waiting)
        job = self.waiting[ids[choice % len(ids)]].job
        removed = {task.task_id for task in self.scheduler.cancel_job(job)}
        expected = {
            task_id
            for task_id, waiting in self.waiting.items()
            if waiting.job == job
        }
        assert removed == expected
        for task_id in removed:
            self.waiting.pop(task_id)

    @invariant()
    def task_counts_match_the_model(self):
        if hasattr(self, 'scheduler'):
            assert self.scheduler.waiting_tasks == len(self.waiting)
            assert self.scheduler.running_tasks == len(self.running)
            self.scheduler.check_invariants()

    def teardown(self):
        if hasattr(self, 'scheduler'):
            self.drain()

    def drain(self):
        """Checks that all tasks start within a bounded number of passes."""
        for service in SERVICES:
            self.set_document(service, Limits(), SELECTORS[0])
        self.announce('u0', 6, 64.0, (), True)
        for _ in range(4 * len(self.waiting) + 400):
            self.place(3.0)
            for task_id in tuple(self.running):
                ended, name = self.running.pop(task_id)
                self.scheduler.task_ended(name, outcome(ended), self.now_s)
            if not self.waiting:
                return
        assert not self.waiting, f'{len(self.waiting)} tasks did not start'

    def check_allocations(self, name):
        tasks = [
            running for running, where in self.running.values() if where == name
        ]
        if name not in self.occupied:
            assert sum(max(0.0, running.cores) for running in tasks) <= 64.0


def test_random_runs():
    run_state_machine_as_test(SchedulerMachine, settings=SHORT)


def test_soak_random_runs():
    """Runs more and longer sequences, under `make soak` only."""
    if os.environ.get('CACTUSHEAD_SOAK') == '1':
        longer = settings(
            SHORT, derandomize=False, max_examples=500, stateful_step_count=80,
            report_multiple_bugs=False,
        )  # fmt: skip
        run_state_machine_as_test(SchedulerMachine, settings=longer)
