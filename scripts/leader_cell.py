"""Simulates a cell in virtual time and measures its leader's CPU time.

Explanation:
    The reducers of three entries and the agents run in one process; every
    frame is encoded and decoded. Only the leader is measured: decoding
    received frames, its reducer, and encoding sent frames, once per loop turn
    as in the runtime. Garbage collection is enabled only in the measured
    part, with a voter's thresholds. Jobs are submitted to the three entries
    in turn at a rate that keeps the slots busy.
"""

import cProfile
import gc
import random
import time
from collections import defaultdict
from itertools import chain

from cactushead_core import effects as fx
from cactushead_core import events as ev
from cactushead_core.agents import OutcomeStatus, TaskOutcome, UpstreamSpec
from cactushead_core.agents.node import AgentNode
from cactushead_core.config import AgentConfig, Bounds, EntryConfig, Timing
from cactushead_core.documents import (
    Limits,
    RequestKind,
    Selector,
    ServiceDocument,
)
from cactushead_core.entry import EntryNode
from cactushead_core.events import Peer, PeerRole
from cactushead_core.jobs import JobId, JobRequest, TaskSpec
from cactushead_core.messages import Message, decode_frame, encode_frame
from cactushead_core.replication import StoredLog
from leader_costs import LeaderCosts, SimulatedProcess, TurnResult, Workload

SERVICE = 'sample'
KIND = 'echo'
SLOTS = 8
ENTRY_TICK_S = 0.05
AGENT_TICK_S = 0.1
DEADLINE_S = 60.0
TARGET_UTILIZATION = 0.8
UNLIMITED = 1_000_000
REPORTED_RUN_S = 0.4
DIGEST_BYTES = 16
NS_PER_S = 1_000_000_000
SETTLE_TURNS = 200
INPUT_JSON = b'{"row": 17, "crate": 4, "sled": "b2", "weight_kg": 11.4}'


_PendingOutcome = tuple[SimulatedProcess, TaskOutcome]
_SentFrame = tuple[SimulatedProcess, str, bytes]


class Cell:
    """Simulates three entries and their agents, turn by turn."""

    def __init__(self, workload: Workload) -> None:
        """Creates the processes and connects them."""
        self.workload = workload
        self.now_s = 100.0
        self.costs = LeaderCosts()
        self.started = 0
        self.answered = 0
        self.open_tasks = 0
        self.profiler: cProfile.Profile | None = None
        self._random = random.Random(1)
        self._requests = 0
        self._outcomes_by_turn: dict[int, list[_PendingOutcome]] = defaultdict(
            list
        )
        self._turn = 0
        self._mean_run_turns = self._compute_mean_run_turns()
        timing = Timing()
        voters = ('e0', 'e1', 'e2')
        bounds = Bounds(jobs=UNLIMITED)
        self.entries = [
            self._make_entry(name, voters, timing, bounds) for name in voters
        ]
        self.agents = [
            self._make_agent(f'a{index}', voters, timing, bounds)
            for index in range(workload.agents)
        ]
        self.processes = {
            process.name: process for process in self.entries + self.agents
        }
        self._connect_processes()
        gc.callbacks.append(self._record_gc_time)
        self._gc_started_ns = 0
        self._in_leader_turn = False

    @property
    def leader(self) -> SimulatedProcess | None:
        """The leader, None if no process leads."""
        for process in self.entries:
            node = process.node
            if isinstance(node, EntryNode) and node.leader is not None:
                return process
        return None

    def prepare(self) -> None:
        """Elects a leader, accepts the document and announces the agents."""
        while self.leader is None:
            self.step()
        self.submit_document(version=1)
        for _ in range(SETTLE_TURNS):
            self.step()

    def submit_document(self, version: int) -> None:
        """Submits a version of the service's document to the leader."""
        document = ServiceDocument(
            SERVICE,
            version,
            'team',
            Selector(),
            Limits(concurrent_tasks=UNLIMITED, queue_tasks=UNLIMITED),
            (RequestKind(KIND, repeatable=self.workload.repeatable),),
            digest=f'v{version}'.encode(),
        )
        submitted = ev.DocumentSubmitted(self.now_s, 0, document)
        leader = self.leader
        assert leader is not None, 'no leader elected'
        leader.events.append(submitted)

    def run_load(self, tasks: int) -> None:
        """Submits jobs until the given number of tasks has started."""
        target = self.started + tasks
        while self.started < target:
            self._submit_jobs()
            self.step()

    def drain(self) -> None:
        """Runs until all jobs are answered."""
        while self.open_tasks:
            self.step()

    def step(self) -> None:
        """Runs one loop turn of each process."""
        self.now_s += self.workload.turn_s
        self._turn += 1
        for process, outcome in self._outcomes_by_turn.pop(self._turn, ()):
            process.events.append(ev.RunEnded(self.now_s, outcome))
        leader = self.leader
        sent_frames: list[_SentFrame] = []
        for process in self.processes.values():
            if process is leader:
                sent_frames += self._run_leader(process)
            elif process.frames or process.events or self._tick_due(process):
                sent_frames += self._run_turn(process)
        for source, peer, frame in sent_frames:
            self.processes[peer].frames.append((source.peer, frame))

    def _compute_mean_run_turns(self) -> int:
        slots = self.workload.agents * SLOTS * TARGET_UTILIZATION
        return max(1, int(slots / self.workload.turn_tasks) - 5)

    def _make_entry(
        self,
        name: str,
        voters: tuple[str, ...],
        timing: Timing,
        bounds: Bounds,
    ) -> SimulatedProcess:
        config = EntryConfig(
            name,
            f'{name}-1',
            'cell',
            'dc',
            voters,
            f'disk-{name}',
            timing=timing,
            bounds=bounds,
            seed=len(name) + ord(name[-1]),
        )
        peer = Peer(name, PeerRole.ENTRY, config.incarnation)
        return SimulatedProcess(
            peer, EntryNode(config, StoredLog(), self.now_s)
        )

    def _make_agent(
        self,
        name: str,
        voters: tuple[str, ...],
        timing: Timing,
        bounds: Bounds,
    ) -> SimulatedProcess:
        config = AgentConfig(name, f'{name}-1', 'cell', voters, timing, bounds)
        peer = Peer(name, PeerRole.AGENT, config.incarnation)
        process = SimulatedProcess(peer, AgentNode(config, self.now_s))
        process.tick_due_s = self.now_s + self._random.random() * AGENT_TICK_S
        spec = UpstreamSpec(name, slots=SLOTS, rack=f'r{int(name[1:]) // 3}')
        process.events.append(ev.UpstreamChecked(self.now_s, spec))
        return process

    def _connect_processes(self) -> None:
        for entry in self.entries:
            for process in self.processes.values():
                if process is entry:
                    continue
                connected = ev.PeerConnected(self.now_s, entry.peer)
                process.events.append(connected)
                if process.peer.role is PeerRole.AGENT:
                    connected = ev.PeerConnected(self.now_s, process.peer)
                    entry.events.append(connected)

    def _submit_jobs(self) -> None:
        workload = self.workload
        slots = workload.agents * SLOTS
        available_tasks = (
            max(slots * TARGET_UTILIZATION, workload.job_tasks)
            - self.open_tasks
        )
        available_tasks = min(available_tasks, workload.turn_tasks)
        if available_tasks < workload.job_tasks <= workload.turn_tasks:
            return
        while available_tasks > 0:
            self._submit_job()
            available_tasks -= workload.job_tasks

    def _submit_job(self) -> None:
        self._requests += 1
        key = f'{self._requests:08d}-3f6c-4c55-9d2e'
        tasks = tuple(
            [TaskSpec(INPUT_JSON) for _ in range(self.workload.job_tasks)],
        )
        digest = key.encode()[:DIGEST_BYTES]
        request = JobRequest(
            JobId(SERVICE, key),
            f'caller-{self._requests % 7}',
            KIND,
            DEADLINE_S,
            tasks,
            digest,
        )
        entry = self.entries[self._requests % len(self.entries)]
        submitted = ev.JobSubmitted(
            self.now_s,
            self._requests,
            request,
            wait=True,
        )
        entry.events.append(submitted)
        self.open_tasks += len(tasks)

    def _tick_due(self, process: SimulatedProcess) -> bool:
        return self.now_s >= process.tick_due_s

    def _run_leader(self, process: SimulatedProcess) -> list[_SentFrame]:
        costs = self.costs
        received = [len(frame) for _, frame in process.frames]
        gc.enable()
        self._in_leader_turn = True
        started_ns = time.process_time_ns()
        if self.profiler is not None:
            self.profiler.enable()
        result = self._reduce_turn(process)
        if self.profiler is not None:
            self.profiler.disable()
        spent_ns = time.process_time_ns() - started_ns
        self._in_leader_turn = False
        gc.disable()
        costs.cpu_ns += spent_ns
        costs.slowest_turn_ns = max(costs.slowest_turn_ns, spent_ns)
        costs.turns += 1
        counts = costs.counts
        counts['frames in'] += len(received)
        counts['bytes in'] += sum(received)
        counts['messages in'] += result.messages
        counts['frames out'] += len(result.frames)
        counts['bytes out'] += sum([len(each) for _, each in result.frames])
        counts.update([type(effect).__name__ for effect in result.effects])
        return self._perform(process, result)

    def _run_turn(self, process: SimulatedProcess) -> list[_SentFrame]:
        return self._perform(process, self._reduce_turn(process))

    def _reduce_turn(self, process: SimulatedProcess) -> TurnResult:
        pending_events = process.events
        process.events = []
        messages = self._append_messages(process, pending_events)
        self._append_timer_events(process, pending_events)
        effects = list(
            chain.from_iterable(
                [process.node.reduce(event) for event in pending_events],
            ),
        )
        outgoing: dict[str, list[Message]] = defaultdict(list)
        for effect in effects:
            if isinstance(effect, fx.Send):
                outgoing[effect.peer].append(effect.message)
        frames = [
            (peer, encode_frame(batch)) for peer, batch in outgoing.items()
        ]
        return TurnResult(messages, effects, frames)

    def _append_messages(
        self, process: SimulatedProcess, pending_events: list[ev.Event]
    ) -> int:
        now_s = self.now_s
        received_frames = process.frames
        process.frames = []
        event_count = len(pending_events)
        for sender, frame in received_frames:
            messages = decode_frame(frame)
            pending_events.extend(
                [ev.MessageReceived(now_s, sender, each) for each in messages],
            )
        return len(pending_events) - event_count

    def _append_timer_events(
        self, process: SimulatedProcess, pending_events: list[ev.Event]
    ) -> None:
        if self._tick_due(process):
            agent = process.peer.role is PeerRole.AGENT
            tick_s = AGENT_TICK_S if agent else ENTRY_TICK_S
            process.tick_due_s = self.now_s + tick_s
            pending_events.append(ev.Tick(self.now_s))
        pending_events.append(ev.TurnEnded(self.now_s))

    def _perform(
        self, process: SimulatedProcess, result: TurnResult
    ) -> list[_SentFrame]:
        for effect in result.effects:
            match effect:
                case fx.AppendLog():
                    last = effect.entries[-1]
                    synced = ev.LogSynced(self.now_s, last.term, last.index)
                    process.events.append(synced)
                case fx.SaveVote():
                    saved = ev.VoteSaved(
                        self.now_s,
                        effect.term,
                        effect.voted_for,
                    )
                    process.events.append(saved)
                case fx.SaveSnapshot():
                    process.events.append(
                        ev.SnapshotSaved(
                            self.now_s,
                            effect.term,
                            effect.index,
                        ),
                    )
                case fx.StartRun():
                    self._start_run(process, effect.assignment)
                case fx.Respond():
                    self._record_response(effect)
        return [(process, peer, frame) for peer, frame in result.frames]

    def _start_run(self, process: SimulatedProcess, run: fx.Assignment) -> None:
        self.started += 1
        outcome = TaskOutcome(
            run.job,
            run.index,
            run.start,
            OutcomeStatus.SUCCEEDED,
            run.input_json,
            run_s=REPORTED_RUN_S,
        )
        turns = self._random.randint(1, 2 * self._mean_run_turns - 1)
        self._outcomes_by_turn[self._turn + turns].append((process, outcome))

    def _record_response(self, effect: fx.Respond) -> None:
        if not effect.request_id:
            return
        response = effect.response
        if not isinstance(response, fx.AnswerResponse):
            raise RuntimeError(f'request {effect.request_id}: {response}')
        self.answered += 1
        self.open_tasks -= self.workload.job_tasks

    def _record_gc_time(self, phase: str, info: dict[str, int]) -> None:
        if not self._in_leader_turn:
            return
        if phase == 'start':
            self._gc_started_ns = time.process_time_ns()
            return
        spent_ns = time.process_time_ns() - self._gc_started_ns
        self.costs.gc_ns += spent_ns
