"""Simulated cluster of entries and agents with faults, in virtual time."""

import random
from dataclasses import dataclass, field

from cactushead_core.agents import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    UpstreamSpec,
)
from cactushead_core.agents.node import AgentNode
from cactushead_core.config import AgentConfig, EntryConfig, Timing
from cactushead_core.documents import (
    Limits,
    RequestKind,
    Selector,
    ServiceDocument,
)
from cactushead_core.effects import (
    AppendLog,
    Drained,
    Effect,
    LogEntry,
    Respond,
    SaveSnapshot,
    SaveVote,
    Send,
    StartRun,
    StopRun,
)
from cactushead_core.entry import EntryNode
from cactushead_core.events import (
    Event,
    LogSynced,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerLost,
    PeerRole,
    RunEnded,
    SnapshotSaved,
    StopEnded,
    Tick,
    TurnEnded,
    UpstreamChecked,
    VoteSaved,
)
from cactushead_core.jobs import JobId, JobRequest, TaskSpec
from cactushead_core.messages import decode_message, encode_message
from cactushead_core.reducer import Node
from cactushead_core.replication import StoredLog

TICK_S = 0.05
SERVICE = 'sample'


@dataclass
class Disk:
    """Disk of a voter; the effects in `unsynced` are lost in a crash."""

    incarnation: str
    term: int = 0
    voted_for: str = ''
    entries: dict[int, LogEntry] = field(default_factory=dict)
    snapshot: SaveSnapshot | None = None
    unsynced: list[Effect] = field(default_factory=list)

    def load(self) -> StoredLog:
        entries = tuple(self.entries[i] for i in sorted(self.entries))
        if self.snapshot is None:
            return StoredLog(self.term, self.voted_for, entries=entries)
        return StoredLog(
            self.term,
            self.voted_for,
            self.snapshot.term,
            self.snapshot.index,
            self.snapshot.members,
            self.snapshot.state,
            entries,
        )

    def sync(self, now_s: float) -> list[Event]:
        unsynced, self.unsynced = self.unsynced, []
        return [self._write(effect, now_s) for effect in unsynced]

    def _write(self, effect: Effect, now_s: float) -> Event:
        if isinstance(effect, SaveVote):
            self.term, self.voted_for = effect.term, effect.voted_for
            return VoteSaved(now_s, effect.term, effect.voted_for)
        if isinstance(effect, SaveSnapshot):
            self.snapshot = effect
            kept = {i: e for i, e in self.entries.items() if i > effect.index}
            self.entries = kept
            return SnapshotSaved(now_s, effect.term, effect.index)
        first = effect.entries[0].index
        self.entries = {i: e for i, e in self.entries.items() if i < first}
        self.entries.update({e.index: e for e in effect.entries})
        last = effect.entries[-1]
        return LogSynced(now_s, last.term, last.index)


@dataclass
class Upstream:
    """An upstream; its runs continue when its agent crashes."""

    spec: UpstreamSpec
    run_s: float = 0.2
    fail: bool = False
    starts: list[str] = field(default_factory=list)
    running: dict[str, tuple[float, Assignment]] = field(default_factory=dict)


@dataclass
class Process:
    """A process: its reducer, its clock and the state that a crash keeps."""

    name: str
    role: PeerRole
    incarnation: int = 0
    node: Node | None = None
    disk: Disk | None = None
    upstream: Upstream | None = None
    paused: bool = False
    offset_s: float = 0.0
    rate: float = 1.0
    tick_due_s: float = 0.0
    inbox: list[Event] = field(default_factory=list)

    @property
    def peer(self) -> Peer:
        return Peer(self.name, self.role, f'{self.name}-{self.incarnation}')


@dataclass
class Packet:
    source: str
    target: str
    sender: Peer
    payload: bytes
    due_s: float


class Cluster:
    """Steps virtual time; each message is encoded and decoded."""

    def __init__(self, entries=1, voters=1, agents=1, seed=0, slots=4):
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.timing = Timing(remember_s=60.0, resend_s=1.0)
        self.processes: dict[str, Process] = {}
        self.packets: list[Packet] = []
        self.links: set[frozenset[str]] = set()
        self.blocked_routes: set[tuple[str, str]] = set()
        self.responses: dict[int, object] = {}
        self.drained: set[str] = set()
        self.start_counts: dict[str, int] = {}
        self.latency_s = 0.001
        self.sync_probability = 0.5
        self.duplicate_probability = 0.0
        self.request_count = 0
        self.voters = tuple(f'e{i}' for i in range(voters))
        for index in range(entries):
            process = Process(f'e{index}', PeerRole.ENTRY)
            if index < voters:
                process.disk = Disk(f'disk-{index}')
            self.processes[process.name] = process
        for index in range(agents):
            spec = UpstreamSpec(f'a{index}', slots=slots)
            upstream = Upstream(spec)
            process = Process(spec.name, PeerRole.AGENT, upstream=upstream)
            self.processes[process.name] = process
        for name in list(self.processes):
            self.start(name)

    # Processes.

    def clock(self, process: Process) -> float:
        return process.offset_s + self.now_s * process.rate

    def start(self, name: str) -> None:
        process = self.processes[name]
        process.incarnation += 1
        now_s = self.clock(process)
        incarnation = process.peer.incarnation
        if process.role is PeerRole.AGENT:
            config = AgentConfig(
                name, incarnation, 'c', self.voters, self.timing
            )
            process.node = AgentNode(config, now_s)
            process.inbox = [UpstreamChecked(now_s, process.upstream.spec)]
            return
        disk = process.disk
        config = EntryConfig(
            name,
            incarnation,
            'c',
            'dc',
            self.voters,
            disk.incarnation if disk else '',
            timing=self.timing,
            seed=self.random.randrange(1 << 30),
        )
        stored = disk.load() if disk else StoredLog()
        process.node = EntryNode(config, stored, now_s)
        process.inbox = []

    def crash(self, name: str) -> None:
        process = self.processes[name]
        process.node = None
        process.inbox = []
        process.paused = False
        if process.disk:
            process.disk.unsynced = []
        for link in [link for link in self.links if name in link]:
            self._link_down(link)

    def replace_disk(self, name: str) -> None:
        self.processes[name].disk = Disk(
            f'disk-{name}-{self.random.randrange(1 << 30)}'
        )

    # Links.

    def _required_links(self):
        names = [name for name, p in self.processes.items() if p.node]
        for one in names:
            for voter in self.voters:
                if voter in names and voter != one:
                    yield frozenset((one, voter))

    def _update_links(self) -> None:
        required = set(self._required_links())
        for link in sorted(required - self.links, key=sorted):
            one, other = sorted(link)
            if not {(one, other), (other, one)} & self.blocked_routes:
                self._link_up(link)

    def _link_up(self, link) -> None:
        self.links.add(link)
        one, other = sorted(link)
        for here, there in ((one, other), (other, one)):
            process = self.processes[here]
            peer = self.processes[there].peer
            event = PeerConnected(self.clock(process), peer)
            process.inbox.append(event)

    def _link_down(self, link) -> None:
        self.links.discard(link)
        one, other = sorted(link)
        for here, there in ((one, other), (other, one)):
            process = self.processes[here]
            if process.node:
                peer = self.processes[there].peer
                event = PeerLost(self.clock(process), peer)
                process.inbox.append(event)

    def partition(
        self, one: str, other: str, *, break_link: bool = True
    ) -> None:
        self.blocked_routes |= {(one, other), (other, one)}
        link = frozenset((one, other))
        if break_link and link in self.links:
            self._link_down(link)

    def partition_one_way(self, source: str, target: str) -> None:
        self.blocked_routes.add((source, target))

    def block_sends_to_voters(self, leader: str) -> None:
        """Drops all messages of a leader to the other voters."""
        for voter in self.voters:
            if voter != leader:
                self.partition_one_way(leader, voter)

    def heal(self) -> None:
        # Links that have dropped messages are broken, as with TCP.
        for source, target in sorted(self.blocked_routes):
            link = frozenset((source, target))
            if link in self.links:
                self._link_down(link)
        self.blocked_routes = set()

    # Time.

    def run(self, duration_s: float, step_s: float = 0.01) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += step_s
            self.step()

    def run_until(self, condition, limit_s: float = 30.0) -> bool:
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            if condition():
                return True
            self.run(0.05)
        return condition()

    def step(self) -> None:
        self._update_links()
        self._deliver()
        for process in list(self.processes.values()):
            if process.node is None or process.paused:
                continue
            self._finish_runs(process)
            self._turn(process)

    def _deliver(self) -> None:
        due = [p for p in self.packets if p.due_s <= self.now_s]
        self.packets = [p for p in self.packets if p.due_s > self.now_s]
        due.sort(key=lambda packet: packet.due_s)
        for packet in due:
            process = self.processes[packet.target]
            if process.node is None:
                continue
            message = decode_message(packet.payload)
            event = MessageReceived(self.clock(process), packet.sender, message)
            process.inbox.append(event)

    def _finish_runs(self, process: Process) -> None:
        upstream = process.upstream
        if upstream is None:
            return
        ended = [
            task_id
            for task_id, (end_s, _) in upstream.running.items()
            if end_s <= self.now_s
        ]
        for task_id in ended:
            _, run = upstream.running.pop(task_id)
            status = OutcomeStatus.SUCCEEDED
            if upstream.fail:
                status = OutcomeStatus.FAILED
            outcome = TaskOutcome(
                run.job,
                run.index,
                run.start,
                status,
                run.input_json,
                run_s=upstream.run_s,
            )
            process.inbox.append(RunEnded(self.clock(process), outcome))

    def _turn(self, process: Process) -> None:
        now_s = self.clock(process)
        effects: list[Effect] = []
        inbox, process.inbox = process.inbox, []
        # A resumed process first handles its queued events at its current
        # time.
        for event in inbox:
            effects += process.node.reduce(with_clock(event, now_s))
        if self.now_s >= process.tick_due_s:
            process.tick_due_s = self.now_s + TICK_S
            effects += process.node.reduce(Tick(now_s))
        effects += process.node.reduce(TurnEnded(now_s))
        for effect in effects:
            self._perform(process, effect)
        synced = self.random.random() < self.sync_probability
        if synced and process.disk and process.disk.unsynced:
            process.inbox += process.disk.sync(now_s)

    def _perform(self, process: Process, effect: Effect) -> None:
        match effect:
            case Send():
                self._send(process, effect)
            case Respond():
                assert effect.request_id not in self.responses
                self.responses[effect.request_id] = effect.response
            case AppendLog() | SaveVote() | SaveSnapshot():
                process.disk.unsynced.append(effect)
            case StartRun():
                self._start_run(process, effect.assignment)
            case StopRun():
                run = process.upstream.running.pop(effect.task_id, None)
                if run is not None:
                    outcome = TaskOutcome(
                        run[1].job,
                        run[1].index,
                        run[1].start,
                        OutcomeStatus.CANCELLED,
                    )
                    event = RunEnded(self.clock(process), outcome)
                    process.inbox.append(event)
                stopped = StopEnded(self.clock(process), effect.task_id, True)
                process.inbox.append(stopped)
            case Drained():
                self.drained.add(process.name)

    def _send(self, process: Process, effect: Send) -> None:
        link = frozenset((process.name, effect.peer))
        if link not in self.links:
            return
        if (process.name, effect.peer) in self.blocked_routes:
            return
        copies = 1 + (self.random.random() < self.duplicate_probability)
        for copy in range(copies):
            delay_s = copy * self.random.uniform(0, 5)
            self.packets.append(
                Packet(
                    process.name,
                    effect.peer,
                    process.peer,
                    encode_message(effect.message),
                    self.now_s + self.latency_s + delay_s,
                )
            )

    def _start_run(self, process: Process, run: Assignment) -> None:
        task_id = run.task_id
        self.start_counts[task_id] = self.start_counts.get(task_id, 0) + 1
        upstream = process.upstream
        upstream.starts.append(task_id)
        upstream.running[task_id] = (self.now_s + upstream.run_s, run)

    # Requests.

    def send_request(self, entry: str, make_event, *args) -> int:
        process = self.processes[entry]
        self.request_count += 1
        event = make_event(self.clock(process), self.request_count, *args)
        process.inbox.append(event)
        return self.request_count

    @property
    def leaders(self) -> list[str]:
        return [
            name
            for name, process in self.processes.items()
            if isinstance(process.node, EntryNode) and process.node.leader
        ]


def with_clock(event: Event, now_s: float) -> Event:
    fields = {
        name: getattr(event, name)
        for name in type(event).__dataclass_fields__
        if name != 'now_s'
    }
    return type(event)(now_s=now_s, **fields)


def sample_document(version=1, **limits) -> ServiceDocument:
    return ServiceDocument(
        SERVICE,
        version,
        'team',
        Selector(),
        Limits(**limits),
        (
            RequestKind('echo', repeatable=True),
            RequestKind('book'),
            RequestKind('retry', repeatable=True, max_starts=3),
        ),
        digest=f'v{version}'.encode(),
    )


def sample_request(key, tasks=3, kind='echo', deadline_s=20.0):
    specs = tuple(
        TaskSpec(f'"{key}-{index}"'.encode()) for index in range(tasks)
    )
    digest = f'{key}{tasks}{kind}'.encode()
    job = JobId(SERVICE, key)
    return JobRequest(job, 'caller', kind, deadline_s, specs, digest)


def await_response(cluster, request_id):
    """Returns the response to a request; runs the cluster until then."""
    assert cluster.run_until(lambda: request_id in cluster.responses)
    return cluster.responses[request_id]
