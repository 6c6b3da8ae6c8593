"""Stateful property tests of a cluster under random faults.

The reducers check their own invariants. The state machine adds those that
concern several processes, such as the number of starts of a task.
"""

import os
import time

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cactushead_core.effects import (
    AnswerResponse,
    DocumentResponse,
    RefusalResponse,
)
from cactushead_core.entry.tests.cluster import (
    Cluster,
    sample_document,
    sample_request,
)
from cactushead_core.events import (
    DocumentSubmitted,
    JobCancelRequested,
    JobSubmitted,
)
from cactushead_core.jobs import JobState

ENTRIES = ('e0', 'e1', 'e2', 'e3')
AGENTS = ('a0', 'a1', 'a2')
VOTERS = ('e0', 'e1', 'e2')
PROCESSES = ENTRIES + AGENTS
KINDS = ('echo', 'book')
SETTLE_S = 90.0


class Faults(RuleBasedStateMachine):
    """Three voters, an entry without a disk and three agents."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(entries=4, voters=3, agents=3, slots=2)
        self.cluster.duplicate_probability = 0.05
        self.requests = {}
        self.submitted_versions = {}
        self.accepted_version = 0
        self.cancelled = set()
        self.version = 1
        assert self.cluster.run_until(lambda: self.cluster.leaders)
        self.send_document('e0', 1)
        self.cluster.run(1.0)

    def send_document(self, entry, version):
        if self.cluster.processes[entry].node is None:
            return
        document = sample_document(version)
        request_id = self.cluster.send_request(
            entry, DocumentSubmitted, document
        )
        self.submitted_versions[request_id] = version

    @rule(
        entry=st.sampled_from(ENTRIES),
        key=st.integers(0, 12),
        tasks=st.integers(1, 5),
    )
    def submit(self, entry, key, tasks):
        if self.cluster.processes[entry].node is None:
            return
        # Kind and size depend on the key alone, so that submissions with the
        # same key have the same content.
        kind = KINDS[key % len(KINDS)]
        request = sample_request(f'k{key}', 1 + key % 5, kind)
        request_id = self.cluster.send_request(
            entry, JobSubmitted, request, True
        )
        self.requests[request_id] = request

    @rule(entry=st.sampled_from(ENTRIES), key=st.integers(0, 12))
    def cancel(self, entry, key):
        if self.cluster.processes[entry].node is None:
            return
        request = sample_request(f'k{key}', 1 + key % 5)
        self.cluster.send_request(entry, JobCancelRequested, request.job)

    @rule(entry=st.sampled_from(ENTRIES), step=st.integers(0, 1))
    def submit_document(self, entry, step):
        self.version += step
        self.send_document(entry, self.version)

    @rule(duration_s=st.sampled_from((0.01, 0.05, 0.3, 1.5, 5.0)))
    def run(self, duration_s):
        self.cluster.run(duration_s)

    @rule(name=st.sampled_from(PROCESSES))
    def crash(self, name):
        if self.cluster.processes[name].node is not None:
            self.cluster.crash(name)

    @rule(name=st.sampled_from(PROCESSES))
    def restart(self, name):
        if self.cluster.processes[name].node is None:
            self.cluster.start(name)

    @rule(name=st.sampled_from(PROCESSES), frozen=st.booleans())
    def freeze(self, name, frozen):
        self.cluster.processes[name].paused = frozen

    @rule(
        one=st.sampled_from(VOTERS),
        other=st.sampled_from(PROCESSES),
        way=st.integers(0, 2),
    )
    def cut(self, one, other, way):
        if one == other:
            return
        if way == 0:
            self.cluster.partition_one_way(one, other)
        elif way == 1:
            self.cluster.partition_one_way(other, one)
        else:
            self.cluster.partition(one, other)

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(name=st.sampled_from(AGENTS), run_s=st.sampled_from((0.1, 3.0)))
    def set_run_time(self, name, run_s):
        self.cluster.processes[name].upstream.run_s = run_s

    @rule(name=st.sampled_from(AGENTS), fail=st.booleans())
    def set_failing(self, name, fail):
        self.cluster.processes[name].upstream.fail = fail

    @rule(
        name=st.sampled_from(PROCESSES),
        rate=st.sampled_from((0.995, 1.0, 1.005)),
    )
    def drift(self, name, rate):
        process = self.cluster.processes[name]
        now_s = self.cluster.clock(process)
        process.rate = rate
        process.offset_s = now_s - self.cluster.now_s * rate

    @invariant()
    def no_task_starts_twice(self):
        twice = {t: n for t, n in self.cluster.start_counts.items() if n > 1}
        assert not twice

    @invariant()
    def answers_are_final_and_correct(self):
        final = {}
        for request_id, request in self.requests.items():
            response = self.cluster.responses.get(request_id)
            if isinstance(response, AnswerResponse):
                check_answer(self.cluster, request, response.answer)
                other = final.setdefault(request.job, response.answer)
                assert other == response.answer

    @invariant()
    def refused_jobs_did_not_run(self):
        by_job = {}
        for request_id, request in self.requests.items():
            response = self.cluster.responses.get(request_id)
            refused = (
                isinstance(response, RefusalResponse)
                and response.refusal.not_run
            )
            by_job.setdefault(request.job, []).append(refused)
        for job, refused in by_job.items():
            if all(refused):
                assert not started(self.cluster, job)

    @invariant()
    def documents_never_revert(self):
        for request_id, version in self.submitted_versions.items():
            response = self.cluster.responses.get(request_id)
            if isinstance(response, DocumentResponse):
                self.accepted_version = max(self.accepted_version, version)
        for name in self.cluster.leaders:
            process = self.cluster.processes[name]
            node = process.node
            if process.paused or not node._replica.has_leader_lease(
                self.cluster.clock(process)
            ):
                continue
            stored = node.applied_log.state.documents.get('sample')
            assert self.accepted_version <= (stored.version if stored else 0)

    def teardown(self):
        self.cluster.heal()
        for name in PROCESSES:
            self.cluster.processes[name].paused = False
            self.restart(name)
        for name in AGENTS:
            self.cluster.processes[name].upstream.run_s = 0.1
            self.cluster.processes[name].upstream.fail = False
        self.cluster.run(SETTLE_S, 0.05)
        self.no_task_starts_twice()
        self.answers_are_final_and_correct()
        self.refused_jobs_did_not_run()
        self.check_cluster_completes_a_job()

    def check_cluster_completes_a_job(self):
        request = sample_request('last', 6)
        request_id = self.cluster.send_request(
            'e3', JobSubmitted, request, True
        )
        self.cluster.run(10.0, 0.05)
        response = self.cluster.responses[request_id]
        assert isinstance(response, AnswerResponse), response
        assert response.answer.state is JobState.COMPLETE, response


def check_answer(cluster, request, answer):
    if answer.state is JobState.COMPLETE:
        expected = tuple(task.input_json for task in request.tasks)
        assert answer.results == expected
    elif answer.not_run:
        assert not started(cluster, request.job)


def started(cluster, job):
    prefix = f'{job.service}/{job.key}/'
    return [task for task in cluster.start_counts if task.startswith(prefix)]


def machine_settings(examples, steps):
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )


TestFaults = Faults.TestCase
TestFaults.settings = machine_settings(12, 25)


def test_soak_faults():
    if not os.environ.get('CACTUSHEAD_SOAK'):
        return
    seconds = float(os.environ.get('CACTUSHEAD_SOAK_S', '120'))
    seed = int(os.environ.get('CACTUSHEAD_SEED', '1'))
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        print('soak seed', seed, flush=True)
        run = hypothesis.seed(seed)(
            lambda: hypothesis.stateful.run_state_machine_as_test(
                Faults,
                settings=hypothesis.settings(
                    machine_settings(20, 50),
                    derandomize=False,
                ),
            )
        )
        run()
        seed += 1
