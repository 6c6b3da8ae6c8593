"""Entries, agents and stand-in upstreams of one fleet in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cactushead_core import effects as fx
from cactushead_core.configuration import Configuration, QueueDocument
from cactushead_core.configuration.events import (
    ConfigurationSubmitted,
    NewestQueried,
)
from cactushead_core.configuration.keeper import ConfigurationFormat
from cactushead_core.discovery import (
    Dial,
    Discovery,
    DropPeer,
    Endpoint,
    MemberAddress,
)
from cactushead_core.dispatch import BestEffortSubmitted
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.events import (
    CallerDisconnected,
    Event,
    LogSynced,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerLost,
    PeerRole,
    SnapshotSaved,
    Tick,
    TurnEnded,
    VoteSaved,
)
from cactushead_core.fleet import FleetEntry, FleetSettings
from cactushead_core.leasing import (
    LeasingAgent,
    RenewalFailed,
    RenewLeases,
    StartAnswer,
    StartAnswered,
    StartLeased,
    StopAnswered,
    StopLeased,
)
from cactushead_core.leasing.settings import LeasingSettings
from cactushead_core.reducer import Node
from cactushead_core.replication import StoredLog
from cactushead_core.tasks import BestEffortJob, JobStep, Room

from .upstream import History, StandIn

TICK_S = 0.05
DELAY_S = 0.001
SYNC_S = 0.009
CALL_S = 0.001
CALL_TIMEOUT_S = 0.1
HEARTBEAT_S = 0.5
SERVICE = 'sample'
PORT = 7000
CAPACITY = Room(cpu_m=8000, memory_mb=1000)


class PlainFormat(ConfigurationFormat):
    """A configuration as `version:queue,queue`."""

    def read(self, source: bytes) -> Configuration:
        """Returns the configuration of bytes."""
        version, _, names = source.decode().partition(':')
        queues = tuple(
            QueueDocument(name, 'host', f'/{name}/', SERVICE, max_starts=3)
            for name in names.split(',')
            if name
        )
        return Configuration(int(version), source, queues)


@dataclass(slots=True)
class Disk:
    """A disk that survives its process.

    Attributes:
        incarnation: Its identity; empty for a process without a disk.
        stored: What is synced.
    """

    incarnation: str = ''
    stored: StoredLog = field(default_factory=StoredLog)

    def append(self, effect: fx.AppendLog) -> None:
        """Makes entries durable."""
        first = effect.entries[0].index
        kept = [one for one in self.stored.entries if one.index < first]
        entries = (*kept, *effect.entries)
        self.stored = replace(self.stored, entries=entries)

    def snapshot(self, effect: fx.SaveSnapshot) -> None:
        """Makes a snapshot durable."""
        kept = [one for one in self.stored.entries if one.index > effect.index]
        self.stored = replace(
            self.stored,
            snapshot_term=effect.term,
            snapshot_index=effect.index,
            members=effect.members,
            state=effect.state,
            entries=tuple(kept),
        )


@dataclass(slots=True)
class Process:
    """A process of the fleet, up or down.

    Attributes:
        member: What it tells of itself.
        disk: Its disk.
        node: Its reducer, None while it is down.
        life: Counts its starts.
        frozen: Whether it stands still.
        upstream: The stand-in beside an agent.
        peers: Processes it has a link to, with their life.
    """

    member: MemberAddress
    disk: Disk
    node: Node | None = None
    life: int = 0
    frozen: bool = False
    upstream: StandIn | None = None
    peers: dict[str, int] = field(default_factory=dict)
    waiting: list[Callable[[], None]] = field(default_factory=list)

    @property
    def peer(self) -> Peer:
        """The process as others see it."""
        member = self.member
        return Peer(member.name, member.role, f'{member.name}/{self.life}')


class World:
    """A fleet on a virtual network.

    Attributes:
        now_s: The virtual time.
        history: What happened at the stand-ins.
        answers: Responses to requests, by their number.
        answered_s: When these came.
    """

    def __init__(
        self,
        *,
        voters: int = 3,
        thin: int = 1,
        agents: int = 3,
        capacity: Room = CAPACITY,
        run_s: float = 0.3,
        dispatch: DispatchSettings | None = None,
    ) -> None:
        """Starts all processes at the same time."""
        self._dispatch = dispatch or DispatchSettings()
        self.now_s = 100.0
        self.history = History()
        self.answers: dict[int, fx.Response] = {}
        self.answered_s: dict[int, float] = {}
        self.processes: dict[str, Process] = {}
        self.cut: set[tuple[str, str]] = set()
        self._held: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.late_calls: Callable[[str], float | None] = lambda _: None
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._requests = itertools.count(1)
        self._jobs = itertools.count(1)
        names = [f'e{number}' for number in range(voters + thin)]
        self.seeds = tuple(Endpoint(name, PORT) for name in names[:3])
        for number, name in enumerate(names):
            disk = Disk(f'{name}-disk-1' if number < voters else '')
            self._add(name, PeerRole.ENTRY, disk)
        for number in range(agents):
            name = f'a{number}'
            process = self._add(name, PeerRole.AGENT, Disk())
            process.upstream = StandIn(
                f'u{number}',
                capacity,
                run_s,
                self.history,
            )
        for name in self.processes:
            self.start(name, first=True)

    # What a test does.

    def start(self, name: str, *, first: bool = False) -> None:
        """Starts a process."""
        process = self.processes[name]
        process.life += 1
        member = replace(
            process.member,
            disk_incarnation=process.disk.incarnation,
        )
        process.node = self._make_node(process, member, first=first)
        self._tick(name, process.life)
        if process.upstream is not None and process.life == 1:
            self._heartbeat(name)

    def add_entry(self, name: str) -> None:
        """Starts a new entry with an empty disk."""
        self._add(name, PeerRole.ENTRY, Disk(f'{name}-disk-1'))
        self.start(name)

    def kill(self, name: str, *, silent: bool = False) -> None:
        """Ends a process; its peers notice at once unless it is silent."""
        process = self.processes[name]
        process.node = None
        peers = list(process.peers)
        process.peers.clear()
        for peer in peers:
            other = self.processes[peer]
            if not silent:
                self._at(DELAY_S, lambda one=other: self._lose(one, name))

    def wipe(self, name: str) -> None:
        """Empties the disk of a process that is down."""
        disk = self.processes[name].disk
        number = int(disk.incarnation.rpartition('-')[2]) + 1
        disk.incarnation = f'{name}-disk-{number}'
        disk.stored = StoredLog()

    def freeze(self, name: str) -> None:
        """Makes a process stand still."""
        self.processes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Lets a frozen process go on."""
        process = self.processes[name]
        process.frozen = False
        waiting, process.waiting = process.waiting, []
        for step in waiting:
            step()

    def separate(self, ones: list[str], others: list[str]) -> None:
        """Cuts two groups off from each other, silently."""
        for one in ones:
            for other in others:
                self.cut.update(((one, other), (other, one)))

    def heal(self) -> None:
        """Ends all cuts."""
        self.cut.clear()
        held, self._held = self._held, {}
        for steps in held.values():
            for step in steps:
                self._at(DELAY_S, step)

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        until_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, step = heapq.heappop(self._heap)
            self._advance_upstreams()
            step()
        self.now_s = until_s
        self._advance_upstreams()

    def submit(
        self,
        entry: str,
        *,
        count: int = 1,
        cpu_m: int = 1000,
        job: str = '',
        patience_s: float = 60.0,
    ) -> int:
        """Submits a job of one step and returns the request's number."""
        number = next(self._requests)
        submitted = BestEffortJob(
            job or f'{next(self._jobs):016x}',
            'q',
            SERVICE,
            'work',
            (JobStep(count, Room(cpu_m=cpu_m, memory_mb=1), 0.3),),
            max_starts=3,
            patience_s=patience_s,
        )
        return self.send(entry, submitted, number)

    def send(
        self,
        entry: str,
        job: BestEffortJob,
        number: int | None = None,
    ) -> int:
        """Submits any job and returns the request's number."""
        number = number or next(self._requests)
        self.feed(
            entry,
            lambda now_s: BestEffortSubmitted(now_s, number, job),
        )
        return number

    def hang_up(self, entry: str, number: int) -> None:
        """Ends a request from the caller's side."""
        self.feed(entry, lambda now_s: CallerDisconnected(now_s, number))

    def configure(self, entry: str, version: int, queues: str = 'q') -> int:
        """Submits a configuration and returns the request's number."""
        number = next(self._requests)
        source = f'{version}:{queues}'.encode()
        configuration = PlainFormat().read(source)
        self.feed(
            entry,
            lambda now_s: ConfigurationSubmitted(now_s, number, configuration),
        )
        return number

    def read(self, entry: str) -> int:
        """Asks for the newest configuration."""
        number = next(self._requests)
        self.feed(entry, lambda now_s: NewestQueried(now_s, number))
        return number

    def entry(self, name: str) -> FleetEntry:
        """Returns the reducer of an entry that is up."""
        node = self.processes[name].node
        assert isinstance(node, FleetEntry)
        return node

    def leaders(self) -> list[str]:
        """Returns the entries that lead under a valid lease."""
        return [
            name
            for name, process in self.processes.items()
            if isinstance(process.node, FleetEntry)
            and not process.frozen
            and process.node.voter.leads_now(self.now_s)
        ]

    def feed(self, name: str, make: Callable[[float], Event]) -> None:
        """Feeds an event to a process, and ends the turn."""
        process = self.processes[name]
        if process.frozen:
            process.waiting.append(lambda: self.feed(name, make))
            return
        if process.node is None:
            return
        for event in (make(self.now_s), TurnEnded(self.now_s)):
            for effect in process.node.reduce(event):
                self._perform(process, effect)

    # The parts around the reducers.

    def _add(self, name: str, role: PeerRole, disk: Disk) -> Process:
        member = MemberAddress(name, role, name, PORT, f'dc-{name}')
        self.processes[name] = Process(member, disk)
        return self.processes[name]

    def _make_node(
        self,
        process: Process,
        member: MemberAddress,
        *,
        first: bool,
    ) -> Node:
        if member.role is PeerRole.AGENT:
            token = 1000 * process.life
            settings = LeasingSettings(member.name, 1.0, token)
            return LeasingAgent(settings, Discovery(member, self.seeds))
        return FleetEntry(
            FleetSettings(
                member,
                self.seeds,
                first_start=first,
                dispatch=self._dispatch,
            ),
            process.peer.incarnation,
            process.disk.stored,
            PlainFormat(),
            self.now_s,
        )

    def _advance_upstreams(self) -> None:
        for process in self.processes.values():
            if process.upstream is not None:
                process.upstream.advance(self.now_s)

    def _perform(self, process: Process, effect: fx.Effect) -> None:
        match effect:
            case fx.Send():
                self._send(process, effect)
            case fx.Respond():
                self.answers[effect.request_id] = effect.response
                self.answered_s[effect.request_id] = self.now_s
            case Dial():
                self._at(DELAY_S, lambda: self._dial(process, effect))
            case DropPeer():
                for link in self._links_of(process.member.name, effect.name):
                    self._held.pop(link, None)
                self._lose(process, effect.name)
                self._lose(self.processes[effect.name], process.member.name)
            case fx.AppendLog() | fx.SaveVote() | fx.SaveSnapshot():
                life = process.life
                self._at(SYNC_S, lambda: self._sync(process, life, effect))
            case StartLeased() | StopLeased() | RenewLeases():
                self._call(process, effect)

    def _send(self, process: Process, effect: fx.Send) -> None:
        life = process.peers.get(effect.peer)
        sender = process.peer
        if life is None:
            return

        link = (sender.name, effect.peer)

        def deliver() -> None:
            target = self.processes[effect.peer]
            if target.life != life or sender.name not in target.peers:
                return
            if link in self.cut:
                # The bytes go out again and again until the cut heals.
                self._held.setdefault(link, []).append(deliver)
                return
            self.feed(
                effect.peer,
                lambda now_s: MessageReceived(now_s, sender, effect.message),
            )

        self._at(DELAY_S, deliver)

    def _dial(self, process: Process, effect: Dial) -> None:
        target = self.processes.get(effect.host)
        name = process.member.name
        if target is None or target.node is None or target.frozen:
            return
        if (name, effect.host) in self.cut or process.node is None:
            return
        if effect.host in process.peers:
            return
        for one, other in ((process, target), (target, process)):
            one.peers[other.member.name] = other.life
        for one, other in ((process, target), (target, process)):
            peer = other.peer
            self.feed(
                one.member.name,
                lambda now_s, peer=peer: PeerConnected(now_s, peer),
            )

    def _lose(self, process: Process, name: str) -> None:
        life = process.peers.pop(name, None)
        if life is None:
            return
        member = self.processes[name].member
        peer = Peer(name, member.role, f'{name}/{life}')
        self.feed(process.member.name, lambda now_s: PeerLost(now_s, peer))

    def _sync(self, process: Process, life: int, effect: fx.Effect) -> None:
        if process.life != life or process.node is None:
            return
        disk = process.disk
        match effect:
            case fx.AppendLog():
                disk.append(effect)
                last = effect.entries[-1]
                self._tell(process, LogSynced(0, last.term, last.index))
            case fx.SaveVote():
                disk.stored = replace(
                    disk.stored,
                    term=effect.term,
                    voted_for=effect.voted_for,
                )
                self._tell(process, VoteSaved(0, effect.term, effect.voted_for))
            case fx.SaveSnapshot():
                disk.snapshot(effect)
                self._tell(process, SnapshotSaved(0, effect.term, effect.index))

    def _tell(self, process: Process, event: Event) -> None:
        self.feed(
            process.member.name,
            lambda now_s: replace(event, now_s=now_s),
        )

    def _links_of(self, one: str, other: str) -> list[tuple[str, str]]:
        return [(one, other), (other, one)]

    def _call(
        self,
        process: Process,
        call: StartLeased | StopLeased | RenewLeases,
    ) -> None:
        """Makes a call; a late one is answered by nobody."""
        upstream = process.upstream
        assert upstream is not None
        sent_s = self.now_s
        life = process.life
        late_s = self.late_calls(type(call).__name__)
        if late_s is not None:
            self._at(late_s, lambda: _carry_out(upstream, call, 0, self.now_s))
        if late_s is not None or upstream.down:
            failed = _failed(call, refused=upstream.down)
            delay_s = CALL_S if upstream.down else CALL_TIMEOUT_S
            self._at(delay_s, lambda: self._answer(process, life, failed))
            return
        wait_s = CALL_S
        if isinstance(call, RenewLeases):
            wait_s = self._time_to_end(upstream, call.wait_s)
        self._at(
            wait_s,
            lambda: self._answer(
                process,
                life,
                _carry_out(upstream, call, sent_s, self.now_s),
            ),
        )
        if isinstance(call, RenewLeases):
            # The lease is renewed when the call arrives, not when it ends.
            upstream.renew(replace(call, acknowledged=0), sent_s, self.now_s)

    def _time_to_end(self, upstream: StandIn, wait_s: float) -> float:
        ends = [live.ends_s - self.now_s for live in upstream.running.values()]
        return max(min([wait_s, *ends]), CALL_S)

    def _answer(self, process: Process, life: int, event: Event) -> None:
        if process.life == life:
            self._tell(process, event)

    def _tick(self, name: str, life: int) -> None:
        process = self.processes[name]
        if process.life != life or process.node is None:
            return
        if not process.frozen:
            self.feed(name, Tick)
        self._at(TICK_S, lambda: self._tick(name, life))

    def _heartbeat(self, name: str) -> None:
        upstream = self.processes[name].upstream
        assert upstream is not None
        if not upstream.down:
            event = upstream.heartbeat(self.now_s, SERVICE)
            self._tell(self.processes[name], event)
        self._at(HEARTBEAT_S, lambda: self._heartbeat(name))

    def _at(self, delay_s: float, step: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._numbers), step)
        heapq.heappush(self._heap, entry)


def _carry_out(
    upstream: StandIn,
    call: StartLeased | StopLeased | RenewLeases,
    sent_s: float,
    now_s: float,
) -> Event:
    if upstream.down:
        return _failed(call, refused=True)
    if isinstance(call, StartLeased):
        return upstream.start(call, now_s)
    if isinstance(call, StopLeased):
        return upstream.stop(call, now_s)
    return upstream.renew(call, sent_s, now_s)


def _failed(
    call: StartLeased | StopLeased | RenewLeases,
    *,
    refused: bool,
) -> Event:
    if isinstance(call, StartLeased):
        answer = StartAnswer.REFUSED if refused else StartAnswer.UNKNOWN
        return StartAnswered(0, call.upstream, call.task, call.run, answer)
    if isinstance(call, StopLeased):
        return StopAnswered(
            0,
            call.upstream,
            call.task,
            call.run,
            confirmed=False,
        )
    return RenewalFailed(0, call.upstream, refused, False, 'no answer')
