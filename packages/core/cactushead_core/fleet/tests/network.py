"""A simulated fleet whose network, event loops and upstreams have delays.

Explanation:
    A process handles its queued events in turns and sends at the end of a turn
    by the name of the peer, on the link that is open then. Each end of a link
    opens and closes at a time of its own. A link keeps the order of its frames;
    a cut holds them back until it heals or the receiver closes the link. Frames
    wait for each other where a process has a limited bandwidth. What
    arrives at a paused process waits in order by its source, and sources are
    read in any order after the pause.
"""

import heapq
import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cactushead_core import effects as fx
from cactushead_core.discovery import Dial, DropPeer
from cactushead_core.events import (
    DrainRequested,
    Event,
    MessageInProgress,
    MessageReceived,
    Peer,
    PeerConnected,
    PeerLost,
    PeerRole,
    Tick,
    TurnEnded,
)
from cactushead_core.leasing import (
    RenewalFailed,
    RenewLeases,
    StartLeased,
    StopLeased,
)
from cactushead_core.messages import encode_frame

from .simulation import (
    CALL_S,
    CALL_TIMEOUT_S,
    CRASH_DELAY_S,
    TICK_S,
    FleetSimulation,
    Process,
    _execute_call,
    _failed_call_event,
)

AGENT_TICK_S = 0.1
# A link without received frames for this time is replaced by a new one.
STALE_S = 0.45
HANDSHAKE_TIMEOUT_S = 3.0
UPSTREAM_STEP_S = 0.02
KEPT_RECORDS = 40_000
# Parts in which large frames are sent.
FRAGMENT_BYTES = 65_536

Call = StartLeased | StopLeased | RenewLeases
MakeEvent = Callable[[float], Event]


@dataclass(slots=True, eq=False)
class Link:
    """One connection between two processes.

    Attributes:
        ends: Names of both processes.
        peers: The process that each end sees at the other one, by name.
        open: Names of the ends at which it is open.
        arrivals_s: Time of the newest frame by receiver.
        heard_s: When a frame was last read, by receiver.
        held: Steps that a cut holds back, by receiver.
    """

    ends: tuple[str, str]
    peers: dict[str, Peer]
    open: set[str] = field(default_factory=set)
    arrivals_s: dict[str, float] = field(default_factory=dict)
    heard_s: dict[str, float] = field(default_factory=dict)
    held: dict[str, list[Callable[[], None]]] = field(default_factory=dict)

    def other(self, name: str) -> str:
        """Returns the process at the other end."""
        return self.ends[name == self.ends[0]]


@dataclass(slots=True)
class Loop:
    """The event loop of a process.

    Attributes:
        inbox: Events of the next turn.
        scheduled: Whether the next turn is scheduled.
        pauses: Whether the process is paused before it performs the effects of
            its next turn.
        undone: Effects of the turn in which the process was paused.
        unread: What has arrived and isn't read, by source.
        links: Its open links by peer.
    """

    inbox: list[MakeEvent] = field(default_factory=list)
    scheduled: bool = False
    pauses: bool = False
    undone: list[fx.Effect] = field(default_factory=list)
    unread: dict[str, deque[Callable[[], None]]] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)


@dataclass(slots=True)
class QueuedFrame:
    """A frame that waits for the bandwidth of a process.

    Attributes:
        link: Link that carries it.
        left_bytes: Size of what has not passed.
        step: Step to execute when it has passed.
        report_progress: Step to execute when a part of it has passed.
    """

    link: Link
    left_bytes: int
    step: Callable[[], None]
    report_progress: Callable[[], None] = lambda: None


class NetworkSimulation(FleetSimulation):
    """A fleet on a network with delays, cuts and resets.

    Attributes:
        rng: Draws delays and orders.
        bandwidths: Bytes a second that a process sends, and as many that it
            receives; unlimited if it is not listed.
        delays_s: Delay of each link by its ends; drawn for each link.
        call_lateness: Returns how late a call is carried out, None for in time.
        records: Newest logged records of all processes.
        drained: Processes that have drained.
    """

    def __init__(self, rng: random.Random, **settings: object) -> None:
        """Starts all processes at the same time."""
        self.rng = rng
        self.delays_s: dict[frozenset[str], float] = {}
        self.call_lateness: Callable[[str, Call], float | None] = lambda *_: (
            None
        )
        self.records: list[str] = []
        self.drained: set[str] = set()
        self.on_response: Callable[[int], None] = lambda _: None
        self._loops: dict[str, Loop] = defaultdict(Loop)
        self._held_links: dict[tuple[str, str], list[Link]] = {}
        self.bandwidths: dict[str, float] = {}
        self._frame_queues: dict[tuple[str, str], deque[QueuedFrame]] = {}
        super().__init__(**settings)  # type: ignore[arg-type]
        self._advance_upstreams()

    # Operations of tests.

    def start(self, name: str, *, first: bool = False) -> None:
        """Starts a process."""
        self._loops[name] = Loop()
        self.drained.discard(name)
        super().start(name, first=first)

    def kill(self, name: str, *, silent: bool = False) -> None:
        """Ends a process; its links are closed unless it ends silently."""
        process = self.processes[name]
        process.node = None
        process.paused = False
        links = list(self._loops[name].links.values())
        self._loops[name] = Loop()
        for link in links:
            link.open.discard(name)
            if not silent:
                self._close_far_end(link, name)

    def drain(self, name: str) -> None:
        """Asks a process to drain."""
        self.feed(name, DrainRequested)

    def pause_in_turn(self, name: str) -> None:
        """Pauses a process when it has decided and hasn't acted."""
        self._loops[name].pauses = True

    def resume(self, name: str) -> None:
        """Resumes a paused process, which reads its sources in any order."""
        process = self.processes[name]
        self._loops[name].pauses = False
        if process.node is None or not process.paused:
            return
        process.paused = False
        loop = self._loops[name]
        effects, loop.undone = loop.undone, []
        self._perform_all(process, effects)
        for source in self.rng.sample(sorted(loop.unread), len(loop.unread)):
            at_s = self.now_s + self.rng.choice((0, 0.001, 0.004, 0.02))
            for _ in loop.unread[source]:
                at_s += self.rng.choice((0, 0, 0, 0.0002, 0.002))
                self._schedule_alive(
                    name,
                    at_s,
                    lambda source=source: self._read_next(name, source),
                )
        self._put(name, Tick)

    def cut(self, one: str, other: str, *, both_ways: bool = True) -> None:
        """Holds back the frames from one process to another."""
        self.blocked_links.add((one, other))
        if both_ways:
            self.blocked_links.add((other, one))

    def mend(self, one: str, other: str) -> None:
        """Ends a cut; what it held back arrives soon, in order."""
        for sender, receiver in ((one, other), (other, one)):
            if (sender, receiver) not in self.blocked_links:
                continue
            self.blocked_links.discard((sender, receiver))
            for link in self._held_links.pop((sender, receiver), []):
                at_s = self.now_s + self.rng.choice((0.001, 0.02, 0.2))
                for step in link.held.pop(receiver, []):
                    at_s += self.rng.choice((0, 0, 0.001, 0.003))
                    link.arrivals_s[receiver] = at_s
                    self._schedule(at_s - self.now_s, step)

    def reset(self, one: str, other: str) -> None:
        """Closes the link at both ends; what is in flight is lost."""
        link = self._loops[one].links.get(other)
        if link is None:
            return
        for name in link.ends:
            self._schedule(
                self.rng.uniform(0.0002, 0.002),
                lambda name=name: self._read(
                    name, f'link {id(link)}', lambda: self._lose(link, name)
                ),
            )
        link.held.clear()
        link.arrivals_s = dict.fromkeys(link.ends, float('inf'))

    def schedule(self, delay_s: float, step: Callable[[], None]) -> None:
        """Executes a step of the test after a delay."""
        self._schedule(delay_s, step)

    def linked(self, name: str) -> list[str]:
        """Returns the processes to which a process has a link."""
        return sorted(self._loops[name].links)

    def run(self, duration_s: float) -> None:
        """Advances the virtual time."""
        self._run_heap(self.now_s + duration_s)

    def feed(self, name: str, make: MakeEvent) -> None:
        """Queues an event from outside of the network."""
        self._read(name, 'outside', lambda: self._put(name, make))

    def feed_from(self, name: str, source: str, make: MakeEvent) -> None:
        """Queues an event from a caller's connection."""
        self._read(name, source, lambda: self._put(name, make))

    # The event loops.

    def _run_heap(self, until_s: float) -> None:
        heap = self._heap
        while heap and heap[0][0] <= until_s:
            self.now_s, _, step = heapq.heappop(heap)
            step()
        self.now_s = until_s

    def _schedule_alive(
        self, name: str, at_s: float, step: Callable[[], None]
    ) -> None:
        start_count = self.processes[name].start_count

        def execute() -> None:
            process = self.processes[name]
            if process.start_count == start_count and process.node is not None:
                step()

        self._schedule(at_s - self.now_s, execute)

    def _read(self, name: str, source: str, step: Callable[[], None]) -> None:
        """Lets a process read from a source, in order."""
        process = self.processes[name]
        if process.node is None:
            return
        loop = self._loops[name]
        if process.paused or source in loop.unread:
            loop.unread.setdefault(source, deque()).append(step)
        else:
            step()

    def _read_next(self, name: str, source: str) -> None:
        loop = self._loops[name]
        if self.processes[name].paused or source not in loop.unread:
            return
        steps = loop.unread[source]
        step = steps.popleft()
        if not steps:
            loop.unread.pop(source)
        step()
        if steps:
            # What arrived while the earlier frames were unread.
            self._schedule_alive(
                name, self.now_s + 0.002, lambda: self._read_next(name, source)
            )

    def _put(self, name: str, make: MakeEvent) -> None:
        loop = self._loops[name]
        loop.inbox.append(make)
        if not loop.scheduled:
            loop.scheduled = True
            delay_s = self.rng.choice((0, 0.0002, 0.0005, 0.001, 0.004))
            self._schedule_alive(
                name, self.now_s + delay_s, lambda: self._turn(name)
            )

    def _turn(self, name: str) -> None:
        process = self.processes[name]
        loop = self._loops[name]
        loop.scheduled = False
        if process.paused:
            return
        events, loop.inbox = loop.inbox, []
        node = process.node
        assert node is not None
        effects = [
            effect
            for make in (*events, TurnEnded)
            for effect in node.reduce(make(self.now_s))
        ]
        if loop.pauses:
            loop.pauses = False
            loop.undone = effects
            process.paused = True
        else:
            self._perform_all(process, effects)

    def _perform_all(self, process: Process, effects: list[fx.Effect]) -> None:
        outgoing: dict[str, list[fx.Send]] = {}
        for effect in effects:
            if isinstance(effect, fx.Send):
                outgoing.setdefault(effect.peer, []).append(effect)
            else:
                self._perform(process, effect)
        for peer, sends in outgoing.items():
            self._send_frame(process, peer, sends)

    def _perform(self, process: Process, effect: fx.Effect) -> None:
        match effect:
            case fx.Respond():
                super()._perform(process, effect)
                self.on_response(effect.request_id)
            case DropPeer():
                link = self._loops[process.member.name].links.get(effect.name)
                if link is not None:
                    self._close(link, process.member.name)
            case fx.Drained():
                self.drained.add(process.member.name)
            case fx.Record():
                self.note(
                    f'{process.member.name} {effect.kind} {effect.subject}'
                    f' {effect.detail}'
                )
            case _:
                super()._perform(process, effect)

    def note(self, text: str) -> None:
        """Keeps a line for the trace of a failure."""
        self.records.append(f'{self.now_s:.4f} {text}')
        if len(self.records) > 2 * KEPT_RECORDS:
            del self.records[:KEPT_RECORDS]

    def _tick(self, name: str, start_count: int) -> None:
        process = self.processes[name]
        if process.start_count != start_count or process.node is None:
            return
        if not process.paused:
            self._put(name, Tick)
        agent = process.member.role is PeerRole.AGENT
        self._schedule(
            AGENT_TICK_S if agent else TICK_S,
            lambda: self._tick(name, start_count),
        )

    def _feed_event(self, process: Process, event: Event) -> None:
        self.feed_from(
            process.member.name,
            f'{type(event).__name__}{next(self._numbers) % 3}',
            lambda now_s: replace(event, now_s=now_s),
        )

    # The network.

    def _delay_s(self, one: str, other: str) -> float:
        ends = frozenset((one, other))
        base_s = self.delays_s.get(ends)
        if base_s is None:
            base_s = self.rng.choice((0.0002, 0.0007, 0.0014, 0.008, 0.05))
            self.delays_s[ends] = base_s
        if self.rng.random() < 0.001:
            return base_s + self.rng.uniform(0.05, 0.5)
        return base_s * self.rng.uniform(1, 1.3)

    def _send_frame(
        self, process: Process, peer: str, sends: list[fx.Send]
    ) -> None:
        name = process.member.name
        link = self._loops[name].links.get(peer)
        if link is None or name not in link.open:
            for send in sends:
                self.note(f'{name} to {peer} dropped {send.message!r:.200}')
            return
        sender = process.peer
        messages = [send.message for send in sends]
        size_bytes = 0
        if name in self.bandwidths or peer in self.bandwidths:
            size_bytes = len(encode_frame(messages))

        def read() -> None:
            self._wait_for_bandwidth(
                (peer, 'receives'),
                QueuedFrame(link, size_bytes, deliver, report_progress),
            )

        def report_progress() -> None:
            if peer in link.open:
                link.heard_s[peer] = self.now_s
                self._put(peer, lambda now_s: MessageInProgress(now_s, sender))

        def deliver() -> None:
            if peer not in link.open:
                return
            link.heard_s[peer] = self.now_s
            for message in messages:
                self._put(
                    peer,
                    lambda now_s, message=message: MessageReceived(
                        now_s, sender, message
                    ),
                )

        self._wait_for_bandwidth(
            (name, 'sends'),
            QueuedFrame(
                link, size_bytes, lambda: self._transmit(link, peer, read)
            ),
        )

    def _wait_for_bandwidth(
        self, end: tuple[str, str], frame: QueuedFrame
    ) -> None:
        """Queues a frame for the bandwidth that its process's links share."""
        if end[0] not in self.bandwidths:
            frame.step()
            return
        queue = self._frame_queues.setdefault(end, deque())
        queue.append(frame)
        if len(queue) == 1:
            self._pass_next(end)

    def _pass_next(self, end: tuple[str, str]) -> None:
        """Lets a part of the first frame pass; those of closed links go."""
        queue = self._frame_queues[end]
        while queue and end[0] not in queue[0].link.open:
            queue.popleft()
        if not queue:
            return
        frame = queue[0]
        size_bytes = min(frame.left_bytes, FRAGMENT_BYTES)

        def passed() -> None:
            frame.left_bytes -= size_bytes
            if frame.left_bytes:
                frame.report_progress()
                self._take_turns(queue)
            else:
                queue.popleft()
                frame.step()
            self._pass_next(end)

        self._schedule(size_bytes / self.bandwidths[end[0]], passed)

    def _take_turns(self, queue: deque[QueuedFrame]) -> None:
        """Moves the frames of the first link behind those of the others."""
        link = queue[0].link
        own = [frame for frame in queue if frame.link is link]
        others = [frame for frame in queue if frame.link is not link]
        queue.clear()
        queue.extend(others)
        queue.extend(own)

    def _transmit(
        self, link: Link, receiver: str, step: Callable[[], None]
    ) -> None:
        """Lets a step arrive at one end, in order and unless it is cut off."""
        sender = link.other(receiver)

        def arrive() -> None:
            if (sender, receiver) in self.blocked_links:
                held = link.held.setdefault(receiver, [])
                held.append(arrive)
                links = self._held_links.setdefault((sender, receiver), [])
                if link not in links:
                    links.append(link)
                return
            self._read(receiver, f'link {id(link)}', step)

        if link.held.get(receiver):
            link.held[receiver].append(arrive)
            return
        at_s = max(
            self.now_s + self._delay_s(*link.ends),
            link.arrivals_s.get(receiver, 0),
        )
        if at_s == float('inf'):
            return
        link.arrivals_s[receiver] = at_s
        self._schedule(at_s - self.now_s, arrive)

    def _close(self, link: Link, name: str) -> None:
        """Closes a link at one end; the other end reads that later."""
        if name not in link.open:
            return
        self._lose(link, name)
        self._close_far_end(link, name)

    def _close_far_end(self, link: Link, name: str) -> None:
        other = link.other(name)
        self._transmit(link, other, lambda: self._lose(link, other))

    def _lose(self, link: Link, name: str) -> None:
        if name not in link.open:
            return
        link.open.discard(name)
        other = link.other(name)
        links = self._loops[name].links
        if links.get(other) is link:
            links.pop(other)
        peer = link.peers[name]
        self._put(name, lambda now_s: PeerLost(now_s, peer))

    def _dial(self, process: Process, effect: Dial) -> None:
        name, target_name = process.member.name, effect.host
        target = self.processes.get(target_name)
        if process.node is None or target is None or target.node is None:
            return
        ends = (name, target_name)
        counts = (process.start_count, target.start_count)
        link = Link(ends, {name: target.peer, target_name: process.peer})
        until_s = self.now_s + HANDSHAKE_TIMEOUT_S

        def greet(receiver: str, then: Callable[[], None]) -> None:
            def read() -> None:
                current = (process.start_count, target.start_count)
                if self.now_s < until_s and current == counts:
                    then()

            self._transmit(link, receiver, read)

        # The TCP and WebSocket handshakes, then the greetings of both ends.
        def answer() -> None:
            greet(name, confirm)

        def confirm() -> None:
            self._add_link(link, name)
            greet(target_name, lambda: self._add_link(link, target_name))

        def open_socket() -> None:
            greet(name, lambda: greet(target_name, answer))

        greet(target_name, open_socket)

    def _add_link(self, link: Link, name: str) -> None:
        other = link.other(name)
        links = self._loops[name].links
        old = links.get(other)
        peer = link.peers[name]
        if old is not None and old.peers[name] == peer:
            silence_s = self.now_s - old.heard_s.get(name, 0)
            if silence_s < STALE_S:
                self._close_far_end(link, name)
                return
        if old is not None:
            self._close(old, name)
        links[other] = link
        link.open.add(name)
        link.heard_s[name] = self.now_s
        self._put(name, lambda now_s: PeerConnected(now_s, peer))

    # The upstreams.

    def _expire_upstream_runs(self) -> None:
        """Advances the upstreams in steps of their own."""

    def _advance_upstreams(self) -> None:
        for process in self.processes.values():
            if process.upstream is not None:
                self._advance(process)
        self._schedule(UPSTREAM_STEP_S, self._advance_upstreams)

    def _advance(self, process: Process) -> None:
        upstream = process.upstream
        assert upstream is not None
        was_down, identity = upstream.down, upstream.identity
        upstream.advance(self.now_s)
        if upstream.down and not was_down:
            closed = RenewalFailed(0, identity, False, False, 'closed')
            self._feed_event(process, closed)

    def _execute(self, process: Process, call: Call, sent_s: float) -> Event:
        if isinstance(call, StartLeased):
            holders = self.history.upstreams_by_task.get(call.task, ())
            for other in self.processes.values():
                if other.upstream and other.upstream.name in holders:
                    other.upstream.advance(self.now_s)
        upstream = process.upstream
        assert upstream is not None
        event = _execute_call(upstream, call, sent_s, self.now_s)
        if not isinstance(call, RenewLeases):
            task = call.task
            self.note(
                f'{upstream.name} {type(call).__name__} {task.job}.{task.index}'
                f' run {call.run} {getattr(event, "answer", "")}'
            )
        return event

    def _call(self, process: Process, call: Call) -> None:
        """Makes a call; the answer to a late one is lost."""
        upstream = process.upstream
        assert upstream is not None
        sent_s = self.now_s
        late_s = self.call_lateness(process.member.name, call)
        if late_s is not None:
            self._schedule(
                late_s, lambda: self._execute(process, call, 0) and None
            )
            self._answer_later(
                process, CALL_TIMEOUT_S, _failed_call_event(call, refused=False)
            )
            return
        if not upstream.accepts(call):
            self._answer_later(
                process, CALL_S, _failed_call_event(call, refused=True)
            )
            return
        wait_s = self.rng.uniform(CALL_S, 3 * CALL_S)
        if isinstance(call, RenewLeases):
            upstream.renew(replace(call, acknowledged=0), sent_s, self.now_s)
            wait_s = self._time_to_end(upstream, call)
        start_count = process.start_count

        def answer() -> None:
            event = self._execute(process, call, sent_s)
            if process.start_count == start_count:
                self._answer_later(process, CALL_S, event)

        self._schedule(wait_s, answer)
        if isinstance(call, StartLeased):
            self._schedule(wait_s + CRASH_DELAY_S, lambda: None)

    def _answer_later(
        self, process: Process, delay_s: float, event: Event
    ) -> None:
        self._schedule(
            delay_s,
            lambda start_count=process.start_count: self._deliver_answer(
                process, start_count, event
            ),
        )
