"""A cell of reducers in virtual time, whose leader's work is timed.

Explanation:
    Three entries and the agents run in one process; every frame crosses the
    wire codec. Only the leader's work is timed: decoding what it receives,
    its reducer, and encoding what it sends, once per loop turn as the runtime
    does it. Collections of cyclic garbage run in the timed part, with a
    voter's thresholds. Clients submit through the three entries in turn and
    keep the slots busy.
"""

import cProfile
import gc
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
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
from cactushead_core.reducer import Node
from cactushead_core.replication import StoredLog

SERVICE = 'sample'
KIND = 'echo'
SLOTS = 8
ENTRY_TICK_S = 0.05
AGENT_TICK_S = 0.1
DEADLINE_S = 60.0
BUSY_SHARE = 0.8
UNLIMITED = 1_000_000
RUN_S = 0.4
DIGEST_BYTES = 16
NS_PER_S = 1_000_000_000
SETTLE_TURNS = 200
INPUT_JSON = b'{"row": 17, "crate": 4, "sled": "b2", "weight_kg": 11.4}'


@dataclass(slots=True)
class Member:
    """One process: its reducer and what waits for it.

    Attributes:
        peer: How other processes see it.
        node: Its reducer.
        frames: Frames that wait, with their senders.
        events: Other events that wait.
        tick_due_s: When its timer fires next.
    """

    peer: Peer
    node: Node
    frames: list[tuple[Peer, bytes]] = field(default_factory=list)
    events: list[ev.Event] = field(default_factory=list)
    tick_due_s: float = 0.0

    @property
    def name(self) -> str:
        """Name of the process."""
        return self.peer.name


_Run = tuple[Member, TaskOutcome]
_Packet = tuple[Member, str, bytes]


@dataclass(frozen=True, slots=True)
class Turn:
    """What one loop turn of a process brought.

    Attributes:
        messages: Number of messages that it took.
        effects: Effects of its reducer.
        frames: Frames to send, with their receivers.
    """

    messages: int
    effects: list[fx.Effect]
    frames: list[tuple[str, bytes]]


@dataclass(slots=True)
class LeaderCosts:
    """What the leader spent.

    Attributes:
        cpu_ns: Processor time.
        collect_ns: Its share spent on cyclic garbage.
        slowest_turn_ns: Processor time of the slowest turn.
        turns: Loop turns.
        counts: Frames, messages, bytes and effects, by name.
    """

    cpu_ns: int = 0
    collect_ns: int = 0
    slowest_turn_ns: int = 0
    turns: int = 0
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Profile:
    """A load.

    Attributes:
        agents: Number of agents, of 8 slots each.
        job_tasks: Tasks in a job.
        tasks: Tasks to measure.
        turn_s: Virtual time of a loop turn.
        turn_tasks: Most tasks that are submitted within a turn.
        repeatable: Whether the requests are repeatable.
    """

    agents: int
    job_tasks: int
    tasks: int
    turn_s: float
    turn_tasks: int
    repeatable: bool


class Cell:
    """Three entries and their agents, stepped turn by turn."""

    def __init__(self, profile: Profile) -> None:
        """Starts the processes and links them."""
        self.profile = profile
        self.now_s = 100.0
        self.costs = LeaderCosts()
        self.started = 0
        self.answered = 0
        self.open_tasks = 0
        self.profiler: cProfile.Profile | None = None
        self._random = random.Random(1)
        self._requests = 0
        self._runs: dict[int, list[_Run]] = defaultdict(list)
        self._turn = 0
        self._run_turns = self._choose_run_turns()
        timing = Timing()
        voters = ('e0', 'e1', 'e2')
        bounds = Bounds(jobs=UNLIMITED)
        self.entries = [
            self._make_entry(name, voters, timing, bounds) for name in voters
        ]
        self.agents = [
            self._make_agent(f'a{index}', voters, timing, bounds)
            for index in range(profile.agents)
        ]
        self.members = {
            member.name: member for member in self.entries + self.agents
        }
        self._link()
        gc.callbacks.append(self._note_collection)
        self._collect_began_ns = 0
        self._timing = False

    @property
    def leader(self) -> Member | None:
        """The process that leads."""
        for member in self.entries:
            node = member.node
            if isinstance(node, EntryNode) and node.leader is not None:
                return member
        return None

    def settle(self) -> None:
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
            (RequestKind(KIND, repeatable=self.profile.repeatable),),
            digest=f'v{version}'.encode(),
        )
        submitted = ev.DocumentSubmitted(self.now_s, 0, document)
        leader = self.leader
        assert leader is not None, 'nobody leads'
        leader.events.append(submitted)

    def load(self, tasks: int) -> None:
        """Runs until a number of tasks has started."""
        wanted = self.started + tasks
        while self.started < wanted:
            self._submit()
            self.step()

    def drain(self) -> None:
        """Runs until all jobs are answered."""
        while self.open_tasks:
            self.step()

    def step(self) -> None:
        """Runs one loop turn of each process."""
        self.now_s += self.profile.turn_s
        self._turn += 1
        for member, outcome in self._runs.pop(self._turn, ()):
            member.events.append(ev.RunEnded(self.now_s, outcome))
        leader = self.leader
        packets: list[_Packet] = []
        for member in self.members.values():
            if member is leader:
                packets += self._run_leader(member)
            elif member.frames or member.events or self._tick_due(member):
                packets += self._run_turn(member)
        for source, peer, frame in packets:
            self.members[peer].frames.append((source.peer, frame))

    def _choose_run_turns(self) -> int:
        slots = self.profile.agents * SLOTS * BUSY_SHARE
        return max(1, int(slots / self.profile.turn_tasks) - 5)

    def _make_entry(
        self,
        name: str,
        voters: tuple[str, ...],
        timing: Timing,
        bounds: Bounds,
    ) -> Member:
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
        return Member(peer, EntryNode(config, StoredLog(), self.now_s))

    def _make_agent(
        self,
        name: str,
        voters: tuple[str, ...],
        timing: Timing,
        bounds: Bounds,
    ) -> Member:
        config = AgentConfig(name, f'{name}-1', 'cell', voters, timing, bounds)
        peer = Peer(name, PeerRole.AGENT, config.incarnation)
        member = Member(peer, AgentNode(config, self.now_s))
        member.tick_due_s = self.now_s + self._random.random() * AGENT_TICK_S
        spec = UpstreamSpec(name, slots=SLOTS, rack=f'r{int(name[1:]) // 3}')
        member.events.append(ev.UpstreamChecked(self.now_s, spec))
        return member

    def _link(self) -> None:
        for entry in self.entries:
            for member in self.members.values():
                if member is entry:
                    continue
                connected = ev.PeerConnected(self.now_s, entry.peer)
                member.events.append(connected)
                if member.peer.role is PeerRole.AGENT:
                    connected = ev.PeerConnected(self.now_s, member.peer)
                    entry.events.append(connected)

    def _submit(self) -> None:
        profile = self.profile
        slots = profile.agents * SLOTS
        room = max(slots * BUSY_SHARE, profile.job_tasks) - self.open_tasks
        room = min(room, profile.turn_tasks)
        if room < profile.job_tasks <= profile.turn_tasks:
            return
        while room > 0:
            self._submit_job()
            room -= profile.job_tasks

    def _submit_job(self) -> None:
        self._requests += 1
        key = f'{self._requests:08d}-3f6c-4c55-9d2e'
        tasks = tuple(
            [TaskSpec(INPUT_JSON) for _ in range(self.profile.job_tasks)],
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

    def _tick_due(self, member: Member) -> bool:
        return self.now_s >= member.tick_due_s

    def _run_leader(self, member: Member) -> list[_Packet]:
        costs = self.costs
        received = [len(frame) for _, frame in member.frames]
        gc.enable()
        self._timing = True
        began_ns = time.process_time_ns()
        if self.profiler is not None:
            self.profiler.enable()
        turn = self._reduce_turn(member)
        if self.profiler is not None:
            self.profiler.disable()
        spent_ns = time.process_time_ns() - began_ns
        self._timing = False
        gc.disable()
        costs.cpu_ns += spent_ns
        costs.slowest_turn_ns = max(costs.slowest_turn_ns, spent_ns)
        costs.turns += 1
        counts = costs.counts
        counts['frames in'] += len(received)
        counts['bytes in'] += sum(received)
        counts['messages in'] += turn.messages
        counts['frames out'] += len(turn.frames)
        counts['bytes out'] += sum([len(each) for _, each in turn.frames])
        counts.update([type(effect).__name__ for effect in turn.effects])
        return self._perform(member, turn)

    def _run_turn(self, member: Member) -> list[_Packet]:
        return self._perform(member, self._reduce_turn(member))

    def _reduce_turn(self, member: Member) -> Turn:
        waiting = member.events
        member.events = []
        messages = self._receive(member, waiting)
        self._add_timers(member, waiting)
        effects = list(
            chain.from_iterable(
                [member.node.reduce(event) for event in waiting],
            ),
        )
        outgoing: dict[str, list[Message]] = defaultdict(list)
        for effect in effects:
            if isinstance(effect, fx.Send):
                outgoing[effect.peer].append(effect.message)
        frames = [
            (peer, encode_frame(batch)) for peer, batch in outgoing.items()
        ]
        return Turn(messages, effects, frames)

    def _receive(self, member: Member, waiting: list[ev.Event]) -> int:
        now_s = self.now_s
        arrived = member.frames
        member.frames = []
        known = len(waiting)
        for sender, frame in arrived:
            messages = decode_frame(frame)
            waiting.extend(
                [ev.MessageReceived(now_s, sender, each) for each in messages],
            )
        return len(waiting) - known

    def _add_timers(self, member: Member, waiting: list[ev.Event]) -> None:
        if self._tick_due(member):
            agent = member.peer.role is PeerRole.AGENT
            tick_s = AGENT_TICK_S if agent else ENTRY_TICK_S
            member.tick_due_s = self.now_s + tick_s
            waiting.append(ev.Tick(self.now_s))
        waiting.append(ev.TurnEnded(self.now_s))

    def _perform(self, member: Member, turn: Turn) -> list[_Packet]:
        for effect in turn.effects:
            match effect:
                case fx.AppendLog():
                    last = effect.entries[-1]
                    synced = ev.LogSynced(self.now_s, last.term, last.index)
                    member.events.append(synced)
                case fx.SaveVote():
                    saved = ev.VoteSaved(
                        self.now_s,
                        effect.term,
                        effect.voted_for,
                    )
                    member.events.append(saved)
                case fx.SaveSnapshot():
                    member.events.append(
                        ev.SnapshotSaved(
                            self.now_s,
                            effect.term,
                            effect.index,
                        ),
                    )
                case fx.StartRun():
                    self._start(member, effect.assignment)
                case fx.Respond():
                    self._respond(effect)
        return [(member, peer, frame) for peer, frame in turn.frames]

    def _start(self, member: Member, run: fx.Assignment) -> None:
        self.started += 1
        outcome = TaskOutcome(
            run.job,
            run.index,
            run.start,
            OutcomeStatus.SUCCEEDED,
            run.input_json,
            run_s=RUN_S,
        )
        turns = self._random.randint(1, 2 * self._run_turns - 1)
        self._runs[self._turn + turns].append((member, outcome))

    def _respond(self, effect: fx.Respond) -> None:
        if not effect.request_id:
            return
        response = effect.response
        if not isinstance(response, fx.AnswerResponse):
            raise RuntimeError(f'request {effect.request_id}: {response}')
        self.answered += 1
        self.open_tasks -= self.profile.job_tasks

    def _note_collection(self, phase: str, info: dict[str, int]) -> None:
        if not self._timing:
            return
        if phase == 'start':
            self._collect_began_ns = time.process_time_ns()
            return
        spent_ns = time.process_time_ns() - self._collect_began_ns
        self.costs.collect_ns += spent_ns
