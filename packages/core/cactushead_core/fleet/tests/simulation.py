"""Simulates a fleet of entries, agents and fake upstreams."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cactushead_core import effects as fx
from cactushead_core.configuration import Configuration, QueueDocument
from cactushead_core.configuration.events import (
    ConfigurationSubmitted,
    NewestRequested,
)
from cactushead_core.configuration.manager import ConfigurationFormat
from cactushead_core.discovery import (
    Dial,
    Discovery,
    DropPeer,
    Endpoint,
    MemberAddress,
)
from cactushead_core.dispatch import BestEffortSubmitted
from cactushead_core.dispatch.settings import DispatchSettings
from cactushead_core.evacuation import EvacuationRequested
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
    StartCallCompleted,
    StartLeased,
    StopCallCompleted,
    StopLeased,
)
from cactushead_core.leasing.settings import LeasingSettings
from cactushead_core.reducer import Node
from cactushead_core.replication import StoredLog
from cactushead_core.tasks import BestEffortJob, JobStep, Resources

from .upstream import CRASH_DELAY_S, FakeUpstream, History

TICK_S = 0.05
DELAY_S = 0.001
SYNC_S = 0.009
CALL_S = 0.001
CALL_TIMEOUT_S = 0.1
HEARTBEAT_S = 0.5
SERVICE = 'sample'
PORT = 7000
CAPACITY = Resources(cpu_m=8000, memory_mb=1000)


class PlainFormat(ConfigurationFormat):
    """Decodes configurations of the form `version:queue,queue`."""

    def read(self, source: bytes) -> Configuration:
        """Decodes a configuration."""
        version, _, names = source.decode().partition(':')
        queues = tuple(
            QueueDocument(name, 'host', f'/{name}/', SERVICE, max_starts=3)
            for name in names.split(',')
            if name
        )
        return Configuration(int(version), source, queues)


@dataclass(slots=True)
class Disk:
    """A disk whose contents persist when its process ends.

    Attributes:
        incarnation: Its identity; empty for a process without a disk.
        stored: Durable contents.
        is_from_first_start: Whether it has been kept since the first start.
    """

    incarnation: str = ''
    stored: StoredLog = field(default_factory=StoredLog)
    is_from_first_start: bool = False

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
        member: Its address.
        disk: Its disk.
        node: Its reducer, None while it is down.
        start_count: Number of its starts.
        paused: Whether it is paused.
        upstream: The fake upstream of an agent.
        peers: Start counts of the processes to which it has a link.
        deferred: Steps to execute when it is resumed.
        closed_s: When its upstream has closed all connections.
    """

    member: MemberAddress
    disk: Disk
    node: Node | None = None
    start_count: int = 0
    paused: bool = False
    upstream: FakeUpstream | None = None
    peers: dict[str, int] = field(default_factory=dict)
    deferred: list[Callable[[], None]] = field(default_factory=list)
    closed_s: float = 0.0

    @property
    def peer(self) -> Peer:
        """The process as others see it."""
        member = self.member
        return Peer(
            member.name, member.role, f'{member.name}/{self.start_count}'
        )


class FleetSimulation:
    """A fleet on a simulated network.

    Attributes:
        now_s: The virtual time.
        history: Events at the fake upstreams.
        responses: Responses by request number.
        response_times_s: Times of the responses by request number.
        logged: Names of processes, each with a record that it has logged.
    """

    def __init__(
        self,
        *,
        voters: int = 3,
        diskless: int = 1,
        agents: int = 3,
        capacity: Resources = CAPACITY,
        run_s: float = 0.3,
        dispatch: DispatchSettings | None = None,
        data_centres: tuple[str, ...] = (),
    ) -> None:
        """Starts all processes at the same time."""
        self._dispatch = dispatch or DispatchSettings()
        self._data_centres = data_centres
        self.now_s = 100.0
        self.history = History()
        self.responses: dict[int, fx.Response] = {}
        self.response_times_s: dict[int, float] = {}
        self.logged: list[tuple[str, fx.Record]] = []
        self.processes: dict[str, Process] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self._delayed: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self.call_delay: Callable[[str], float | None] = lambda _: None
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._requests = itertools.count(1)
        self._jobs = itertools.count(1)
        names = [f'e{number}' for number in range(voters + diskless)]
        self.seeds = tuple(Endpoint(name, PORT) for name in names[:3])
        for number, name in enumerate(names):
            disk = Disk(f'{name}-disk-1' if number < voters else '')
            self._add(name, PeerRole.ENTRY, disk)
        for number in range(agents):
            name = f'a{number}'
            process = self._add(name, PeerRole.AGENT, Disk())
            process.upstream = FakeUpstream(
                f'u{number}',
                capacity,
                run_s,
                self.history,
            )
        for name in self.processes:
            self.start(name, first=True)

    # Operations of tests.

    def start(self, name: str, *, first: bool = False) -> None:
        """Starts a process."""
        process = self.processes[name]
        process.start_count += 1
        if first and process.disk.incarnation:
            process.disk.is_from_first_start = True
        member = replace(
            process.member,
            disk_incarnation=process.disk.incarnation,
        )
        process.node = self._make_node(process, member, first=first)
        self._tick(name, process.start_count)
        if process.upstream is not None and process.start_count == 1:
            self._heartbeat(name)

    def add_entry(self, name: str) -> None:
        """Starts a new entry with an empty disk."""
        self._add(name, PeerRole.ENTRY, Disk(f'{name}-disk-1'))
        self.update_seeds()
        self.start(name)

    def update_seeds(self) -> None:
        """Names three entries that are up now to each process that starts."""
        up = [
            name
            for name, process in self.processes.items()
            if process.node is not None
            and process.member.role is PeerRole.ENTRY
        ]
        self.seeds = tuple(Endpoint(name, PORT) for name in up[:3])

    def is_up(self, name: str) -> bool:
        """Whether a process runs."""
        return self.processes[name].node is not None

    def kill(self, name: str, *, silent: bool = False) -> None:
        """Ends a process.

        Explanation:
            Its peers see their links close, unless it ends silently, as in a
            power loss.
        """
        process = self.processes[name]
        process.node = None
        peers = list(process.peers)
        process.peers.clear()
        for peer in peers:
            other = self.processes[peer]
            if not silent:
                self._schedule(
                    DELAY_S, lambda one=other: self._disconnect(one, name)
                )

    def wipe(self, name: str) -> None:
        """Empties the disk of a process that is down."""
        disk = self.processes[name].disk
        number = int(disk.incarnation.rpartition('-')[2]) + 1
        disk.incarnation = f'{name}-disk-{number}'
        disk.stored = StoredLog()
        disk.is_from_first_start = False

    def pause(self, name: str) -> None:
        """Pauses a process."""
        self.processes[name].paused = True

    def resume(self, name: str) -> None:
        """Resumes a paused process."""
        process = self.processes[name]
        process.paused = False
        deferred, process.deferred = process.deferred, []
        for step in deferred:
            step()

    def refuse(self, name: str) -> None:
        """Closes the port and connections of an agent's upstream.

        Explanation:
            Its runs go on, and it sends heartbeats.
        """
        process = self.processes[name]
        assert process.upstream is not None
        process.upstream.refuses = True
        self.close_calls(name)

    def close_calls(self, name: str) -> None:
        """Closes the connection on which an agent's renewal waits."""
        process = self.processes[name]
        assert process.upstream is not None
        process.closed_s = self.now_s
        identity = process.upstream.identity
        closed = RenewalFailed(0, identity, False, False, 'closed')
        self._feed_event(process, closed)

    def listen(self, name: str) -> None:
        """Opens the port of an agent's upstream again."""
        process = self.processes[name]
        assert process.upstream is not None
        process.upstream.refuses = False

    def partition(self, ones: list[str], others: list[str]) -> None:
        """Drops all traffic between two groups without closing links."""
        for one in ones:
            for other in others:
                self.blocked_links.update(((one, other), (other, one)))

    def heal(self) -> None:
        """Ends all partitions."""
        self.blocked_links.clear()
        delayed, self._delayed = self._delayed, {}
        for steps in delayed.values():
            for step in steps:
                self._schedule(DELAY_S, step)

    def run(self, duration_s: float) -> None:
        """Advances the virtual time."""
        until_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, step = heapq.heappop(self._heap)
            self._expire_upstream_runs()
            step()
        self.now_s = until_s
        self._expire_upstream_runs()

    def submit(
        self,
        entry: str,
        *,
        count: int = 1,
        cpu_m: int = 1000,
        job: str = '',
        caller_timeout_s: float = 60.0,
    ) -> int:
        """Submits a job of one step and returns the request's number."""
        number = next(self._requests)
        submitted = BestEffortJob(
            job or f'{next(self._jobs):016x}',
            'q',
            SERVICE,
            'work',
            (JobStep(count, Resources(cpu_m=cpu_m, memory_mb=1), 0.3),),
            max_starts=3,
            caller_timeout_s=caller_timeout_s,
        )
        return self.send(entry, submitted, number)

    def submit_later(self, delay_s: float, entry: str, job: str) -> None:
        """Submits a job again after a delay, as a caller does."""
        self._schedule(delay_s, lambda: self.submit(entry, count=4, job=job))

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

    def disconnect_caller(self, entry: str, number: int) -> None:
        """Closes a request from the caller's side."""
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

    def evacuate(
        self, entry: str, data_centre: str, *, evacuated: bool = True
    ) -> int:
        """Evacuates a data centre, or ends that; returns the request's number.

        Explanation:
            Each process has a data centre of its own, `dc-` and its name.
        """
        number = next(self._requests)
        self.feed(
            entry,
            lambda now_s: EvacuationRequested(
                now_s, number, data_centre, evacuated
            ),
        )
        return number

    def read(self, entry: str) -> int:
        """Requests the newest configuration."""
        number = next(self._requests)
        self.feed(entry, lambda now_s: NewestRequested(now_s, number))
        return number

    def entry(self, name: str) -> FleetEntry:
        """Returns the reducer of an entry that is up."""
        node = self.processes[name].node
        assert isinstance(node, FleetEntry)
        return node

    def leaders(self) -> list[str]:
        """Returns the entries that lead with a valid lease."""
        return [
            name
            for name, process in self.processes.items()
            if isinstance(process.node, FleetEntry)
            and not process.paused
            and process.node.voter.holds_leader_lease(self.now_s)
        ]

    def feed(self, name: str, make: Callable[[float], Event]) -> None:
        """Feeds an event to a process, and ends the turn."""
        process = self.processes[name]
        if process.paused:
            process.deferred.append(lambda: self.feed(name, make))
            return
        if process.node is None:
            return
        for event in (make(self.now_s), TurnEnded(self.now_s)):
            for effect in process.node.reduce(event):
                self._perform(process, effect)

    # Simulated input and output of the reducers.

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
            token = 1000 * process.start_count
            settings = LeasingSettings(member.name, 1.0, token)
            return LeasingAgent(settings, Discovery(member, self.seeds))
        return FleetEntry(
            FleetSettings(
                member,
                self.seeds,
                first_start=first,
                is_disk_from_first_start=process.disk.is_from_first_start,
                data_centres=self._data_centres,
                dispatch=self._dispatch,
            ),
            process.peer.incarnation,
            process.disk.stored,
            PlainFormat(),
            self.now_s,
        )

    def _expire_upstream_runs(self) -> None:
        for process in self.processes.values():
            upstream = process.upstream
            if upstream is None:
                continue
            was_down = upstream.down
            identity = upstream.identity
            upstream.advance(self.now_s)
            if upstream.down and not was_down:
                # The connection on which a renewal waits is closed.
                closed = RenewalFailed(0, identity, False, False, 'closed')
                self._feed_event(process, closed)

    def _perform(self, process: Process, effect: fx.Effect) -> None:
        match effect:
            case fx.Send():
                self._send(process, effect)
            case fx.Respond():
                self.responses[effect.request_id] = effect.response
                self.response_times_s[effect.request_id] = self.now_s
            case fx.Record(logged=True):
                self.logged.append((process.member.name, effect))
            case Dial():
                self._schedule(DELAY_S, lambda: self._dial(process, effect))
            case DropPeer():
                self._close_link(process, self.processes[effect.name])
            case fx.AppendLog() | fx.SaveVote() | fx.SaveSnapshot():
                start_count = process.start_count
                self._schedule(
                    SYNC_S, lambda: self._sync(process, start_count, effect)
                )
            case StartLeased() | StopLeased() | RenewLeases():
                self._call(process, effect)

    def _send(self, process: Process, effect: fx.Send) -> None:
        start_count = process.peers.get(effect.peer)
        sender = process.peer
        if start_count is None:
            return

        link = (sender.name, effect.peer)

        def deliver() -> None:
            target = self.processes[effect.peer]
            if (
                target.start_count != start_count
                or sender.name not in target.peers
            ):
                return
            if link in self.blocked_links:
                # The transport retransmits until the partition ends.
                self._delayed.setdefault(link, []).append(deliver)
                return
            self.feed(
                effect.peer,
                lambda now_s: MessageReceived(now_s, sender, effect.message),
            )

        self._schedule(DELAY_S, deliver)

    def _dial(self, process: Process, effect: Dial) -> None:
        target = self.processes.get(effect.host)
        name = process.member.name
        if target is None or target.node is None or target.paused:
            return
        if (name, effect.host) in self.blocked_links or process.node is None:
            return
        if effect.host in process.peers:
            return
        self._close_link(process, target)
        for one, other in ((process, target), (target, process)):
            one.peers[other.member.name] = other.start_count
        for one, other in ((process, target), (target, process)):
            peer = other.peer
            self.feed(
                one.member.name,
                lambda now_s, peer=peer: PeerConnected(now_s, peer),
            )

    def _close_link(self, process: Process, target: Process) -> None:
        """Closes a link; the other side learns it after a partition."""
        name, other = process.member.name, target.member.name
        for link in ((name, other), (other, name)):
            self._delayed.pop(link, None)
        self._disconnect(process, other)
        if (name, other) in self.blocked_links:
            self._delayed[(name, other)] = [
                lambda: self._disconnect(target, name)
            ]
        else:
            self._disconnect(target, name)

    def _disconnect(self, process: Process, name: str) -> None:
        start_count = process.peers.pop(name, None)
        if start_count is None:
            return
        member = self.processes[name].member
        peer = Peer(name, member.role, f'{name}/{start_count}')
        self.feed(process.member.name, lambda now_s: PeerLost(now_s, peer))

    def _sync(
        self, process: Process, start_count: int, effect: fx.Effect
    ) -> None:
        if process.start_count != start_count or process.node is None:
            return
        disk = process.disk
        match effect:
            case fx.AppendLog():
                disk.append(effect)
                last = effect.entries[-1]
                self._feed_event(process, LogSynced(0, last.term, last.index))
            case fx.SaveVote():
                disk.stored = replace(
                    disk.stored,
                    term=effect.term,
                    voted_for=effect.voted_for,
                )
                self._feed_event(
                    process, VoteSaved(0, effect.term, effect.voted_for)
                )
            case fx.SaveSnapshot():
                disk.snapshot(effect)
                self._feed_event(
                    process, SnapshotSaved(0, effect.term, effect.index)
                )

    def _feed_event(self, process: Process, event: Event) -> None:
        self.feed(
            process.member.name,
            lambda now_s: replace(event, now_s=now_s),
        )

    def _call(
        self,
        process: Process,
        call: StartLeased | StopLeased | RenewLeases,
    ) -> None:
        """Makes a call; the answer to a delayed one is lost."""
        upstream = process.upstream
        assert upstream is not None
        sent_s = self.now_s
        start_count = process.start_count
        late_s = self.call_delay(type(call).__name__)
        if late_s is not None:
            self._schedule(
                late_s, lambda: _execute_call(upstream, call, 0, self.now_s)
            )
        silent = late_s is not None or call.address in upstream.silent_addresses
        refused = not silent and not upstream.accepts(call)
        if silent or refused:
            failed = _failed_call_event(
                call, refused=refused, sent=silent or upstream.listens(call)
            )
            delay_s = CALL_S if refused else CALL_TIMEOUT_S
            self._schedule(
                delay_s,
                lambda: self._deliver_answer(process, start_count, failed),
            )
            return
        wait_s = CALL_S
        if isinstance(call, RenewLeases):
            wait_s = self._time_to_end(upstream, call)

        def answer() -> None:
            if isinstance(call, RenewLeases) and sent_s < process.closed_s:
                return
            event = _execute_call(upstream, call, sent_s, self.now_s)
            self._deliver_answer(process, start_count, event)

        self._schedule(wait_s, answer)
        if isinstance(call, StartLeased):
            # A crash by the task happens in time.
            self._schedule(CALL_S + CRASH_DELAY_S, lambda: None)
        if isinstance(call, RenewLeases):
            # The lease is renewed when the call arrives, not when it is
            # answered.
            upstream.renew(replace(call, acknowledged=0), sent_s, self.now_s)

    def _time_to_end(self, upstream: FakeUpstream, call: RenewLeases) -> float:
        """Returns how long a renewal waits: until there is an end to list."""
        if upstream.has_ends_after(call.acknowledged):
            return CALL_S
        ends = [
            fake_run.ends_s - self.now_s
            for fake_run in upstream.running.values()
        ]
        return max(min([call.wait_s, *ends]), CALL_S)

    def _deliver_answer(
        self, process: Process, start_count: int, event: Event
    ) -> None:
        if process.start_count == start_count:
            self._feed_event(process, event)

    def _tick(self, name: str, start_count: int) -> None:
        process = self.processes[name]
        if process.start_count != start_count or process.node is None:
            return
        if not process.paused:
            self.feed(name, Tick)
        self._schedule(TICK_S, lambda: self._tick(name, start_count))

    def _heartbeat(self, name: str) -> None:
        upstream = self.processes[name].upstream
        assert upstream is not None
        if not upstream.down:
            event = upstream.heartbeat(self.now_s, SERVICE)
            self._feed_event(self.processes[name], event)
        self._schedule(HEARTBEAT_S, lambda: self._heartbeat(name))

    def _schedule(self, delay_s: float, step: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._numbers), step)
        heapq.heappush(self._heap, entry)


def _execute_call(
    upstream: FakeUpstream,
    call: StartLeased | StopLeased | RenewLeases,
    sent_s: float,
    now_s: float,
) -> Event:
    if not upstream.accepts(call):
        # A renewal was sent before; its connection has been closed.
        refused = not isinstance(call, RenewLeases)
        return _failed_call_event(call, refused=refused)
    if isinstance(call, StartLeased):
        return upstream.start(call, now_s)
    if isinstance(call, StopLeased):
        return upstream.stop(call, now_s)
    return upstream.renew(call, sent_s, now_s)


def _failed_call_event(
    call: StartLeased | StopLeased | RenewLeases,
    *,
    refused: bool,
    sent: bool = True,
) -> Event:
    if isinstance(call, StartLeased):
        answer = StartAnswer.REFUSED if refused else StartAnswer.UNKNOWN
        return StartCallCompleted(0, call.upstream, call.task, call.run, answer)
    if isinstance(call, StopLeased):
        return StopCallCompleted(
            0,
            call.upstream,
            call.task,
            call.run,
            confirmed=False,
        )
    return RenewalFailed(0, call.upstream, refused, False, 'no answer', sent)
